import { connect } from "node:net";
import type { z } from "zod";
import { parseAddress } from "./address.js";
import { Link, type LinkEvents } from "./link.js";
import type { LinkTicker } from "./ticker.js";
import type { CloseReason, LinkLimits, NodeIdentity } from "./types.js";

/** Shortest wait before a reconnection attempt, in milliseconds. */
const minBackoffMs = 50;

/** Default of {@link LinkClientOptions.maxBackoffMs}, in milliseconds. */
const defaultMaxBackoffMs = 2000;

/** Options of {@link LinkClient}. */
export interface LinkClientOptions<Message, Outgoing = Message> {
    /** `host:port` of the peer. */
    readonly address: string;
    readonly self: () => NodeIdentity;
    readonly secret: string;
    readonly schema: z.ZodType<Message, Outgoing>;
    readonly limits: LinkLimits;
    /** Ticker shared by the links of a process. @default a separate one for each link */
    readonly ticker?: LinkTicker | undefined;
    readonly events: LinkEvents<Message, Outgoing>;
    /** Longest wait before a reconnection attempt, in milliseconds. @default 2000 */
    readonly maxBackoffMs?: number;
}

/** Maintains one link to an address and reconnects whenever the link closes. At most one attempt runs at a time. */
export class LinkClient<Message, Outgoing = Message> {
    private link: Link<Message, Outgoing> | undefined;
    private retryTimer: NodeJS.Timeout | undefined;
    private backoffMs = minBackoffMs;
    private isStopped = false;

    constructor(private readonly options: LinkClientOptions<Message, Outgoing>) {}

    start(): void {
        this.open();
    }

    /** Closes the link and stops reconnecting. */
    stop(): void {
        this.isStopped = true;
        clearTimeout(this.retryTimer);
        this.link?.close("asked");
    }

    private open(): void {
        const { address, events, limits } = this.options;
        const socket = connect(parseAddress(address));
        this.link = new Link<Message, Outgoing>({
            ...this.options,
            socket,
            self: this.options.self(),
            limits: { ...limits, heartbeatMs: limits.clientHeartbeatMs },
            events: {
                onBytes: (direction, count) => events.onBytes?.(direction, count),
                onFrame: (direction, type) => events.onFrame?.(direction, type),
                onMessage: (link, message) => events.onMessage(link, message),
                onOpen: link => {
                    this.backoffMs = minBackoffMs;
                    events.onOpen(link);
                },
                onClose: (link, reason) => this.receiveClose(link, reason),
            },
        });
    }

    private receiveClose(link: Link<Message, Outgoing>, reason: CloseReason): void {
        this.options.events.onClose(link, reason);
        if (this.isStopped) {
            return;
        }
        // Without jitter, all peers that lost the same VM would reconnect at the same time.
        const waitMs = this.backoffMs * (0.5 + Math.random() / 2);
        this.backoffMs = Math.min(this.backoffMs * 2, this.options.maxBackoffMs ?? defaultMaxBackoffMs);
        this.retryTimer = setTimeout(() => this.open(), waitMs);
        this.retryTimer.unref();
    }
}
