import { PendingReads } from "../reads.js";
import type { CallerExchange } from "./caller.js";

/** Time for which a caller counts as present after its connection was found open, in milliseconds. */
const maxAgeMs = 100;

/** Options of {@link CallerPresence}. */
export interface CallerPresenceOptions {
    /** Clock that keeps running while the VM is suspended, in milliseconds. */
    readonly readBoot: () => number;
    /** @default the reads of this process */
    readonly reads?: Pick<PendingReads, "wait"> | undefined;
}

/**
 * Tells whether callers may have left unnoticed. While this process is short of processor time, or suspended, a request and
 * the close of its connection wait at the socket together: the request is read first.
 */
export class CallerPresence {
    private readonly reads: Pick<PendingReads, "wait">;

    constructor(private readonly options: CallerPresenceOptions) {
        this.reads = options.reads ?? new PendingReads();
    }

    /** Waits until `hasLeft` of a caller can be relied on; undefined if it can be now. */
    check(caller: Pick<CallerExchange, "hasLeft" | "checkedAt">): Promise<void> | undefined {
        if (caller.hasLeft || this.options.readBoot() - caller.checkedAt <= maxAgeMs) {
            return undefined;
        }
        return this.reads.wait().then(() => {
            caller.checkedAt = this.options.readBoot();
        });
    }
}
