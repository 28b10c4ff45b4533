import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import type { z } from "zod";
import { Link, type LinkEvents } from "./link.js";
import type { LinkTicker } from "./ticker.js";
import type { LinkLimits, NodeIdentity } from "./types.js";

/** Time in which the peer of an accepted link has to prove that it knows the secret, in milliseconds. */
const handshakeMs = 10_000;

/** Options of {@link LinkServer}. */
export interface LinkServerOptions<Message, Outgoing = Message> {
    readonly host: string;
    /** TCP port; 0 lets the operating system choose a free one. */
    readonly port: number;
    readonly self: () => NodeIdentity;
    readonly secret: string;
    readonly schema: z.ZodType<Message, Outgoing>;
    /** Limits of all links, or a function that returns the limits of each accepted link. */
    readonly limits: LinkLimits | (() => LinkLimits);
    /**
     * Most links at a time. Beyond that, the oldest one whose peer has not proved yet that it knows the secret closes in
     * favour of a new one.
     * @default unlimited
     */
    readonly maxLinks?: number | undefined;
    /** Ticker shared by the links of a process. @default a separate one for each link */
    readonly ticker?: LinkTicker | undefined;
    readonly events: LinkEvents<Message, Outgoing>;
}

/** Listens for connections of peers and holds a link for each. */
export class LinkServer<Message, Outgoing = Message> {
    private readonly server: Server;
    private readonly links = new Set<Link<Message, Outgoing>>();

    constructor(private readonly options: LinkServerOptions<Message, Outgoing>) {
        this.server = createServer(socket => this.receiveSocket(socket));
    }

    /** Starts listening and returns the port. */
    async start(): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(this.options.port, this.options.host, resolve));
        return (this.server.address() as AddressInfo).port;
    }

    /** Closes the listener and every link. */
    stop(): void {
        this.server.close();
        for (const link of [...this.links]) {
            link.close("asked");
        }
    }

    private receiveSocket(socket: Socket): void {
        const { events, secret, schema, ticker, maxLinks = Infinity } = this.options;
        if (this.links.size >= maxLinks) {
            const oldest = [...this.links].find(({ isOpen }) => !isOpen);
            if (oldest === undefined) {
                socket.destroy();
                return;
            }
            oldest.close("displaced");
        }
        const limits = typeof this.options.limits === "function" ? this.options.limits() : this.options.limits;
        const link = new Link<Message, Outgoing>({
            socket,
            self: this.options.self(),
            secret,
            schema,
            ticker,
            limits: { ...limits, silenceMs: limits.clientSilenceMs },
            handshakeMs,
            events: {
                ...events,
                onOpen: opened => events.onOpen(opened),
                onMessage: (sender, message) => events.onMessage(sender, message),
                onClose: (closed, reason) => {
                    this.links.delete(closed);
                    events.onClose(closed, reason);
                },
            },
        });
        this.links.add(link);
    }
}
