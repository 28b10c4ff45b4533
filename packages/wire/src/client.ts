import { connect } from "node:net";
import type { z } from "zod";
import { parseAddress } from "./address.js";
import { Link, type LinkEvents } from "./link.js";
import type { LinkTicker } from "./ticker.js";
import type { CloseReason, LinkLimits, NodeIdentity } from "./types.js";

/** Shortest wait before another try to connect, in milliseconds. */
const minBackoffMs = 50;

/** Longest wait before another try unless the options say otherwise, in milliseconds. */
const usualMaxBackoffMs = 2000;

/** Options of {@link LinkClient}. */
export interface LinkClientOptions<Message, Outgoing = Message> {
    /** `host:port` of the peer. */
    readonly address: string;
    readonly self: () => NodeIdentity;
    readonly secret: string;
    readonly schema: z.ZodType<Message, Outgoing>;
    readonly limits: LinkLimits;
    /** Shared by the links of a process. @default one for each link */
    readonly ticker?: LinkTicker | undefined;
    readonly events: LinkEvents<Message, Outgoing>;
    /** Longest wait before another try to connect, in milliseconds. @default 2000 */
    readonly maxBackoffMs?: number;
}

/** Keeps one link to an address, and opens it anew whenever it ends. At most one attempt is under way. */
export class LinkClient<Message, Outgoing = Message> {
    private link: Link<Message, Outgoing> | undefined;
    private retryTimer: NodeJS.Timeout | undefined;
    private backoffMs = minBackoffMs;
    private isStopped = false;

    constructor(private readonly options: LinkClientOptions<Message, Outgoing>) {}

    start(): void {
        this.open();
    }

    /** Ends the link for good. */
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
            limits: { ...limits, heartbeatMs: limits.callerHeartbeatMs },
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
        // Jitter keeps peers that lost the same VM from coming back in step.
        const waitMs = this.backoffMs * (0.5 + Math.random() / 2);
        this.backoffMs = Math.min(this.backoffMs * 2, this.options.maxBackoffMs ?? usualMaxBackoffMs);
        this.retryTimer = setTimeout(() => this.open(), waitMs);
        this.retryTimer.unref();
    }
}
