import type { DecisionLog } from "../decisions.js";
import type { CallerExchange, CallerMeter } from "../requests/caller.js";
import type { RefusalReason, RefusalResponse } from "../requests/refusal.js";
import { MemoryLedger } from "./ledger.js";

/** `Retry-After` of requests that are refused for lack of memory, in seconds: stalled callers are cut off after 1 s. */
const retryAfterSeconds = 1;

/** The response to a request for which this VM has no memory. */
export const memoryRefusal: RefusalResponse = { status: 503, reason: "memoryFull", retryAfterSeconds };

/** Decides which requests a VM accepts by the memory that it holds for callers. */
export interface EdgeGuard {
    /** Refuses a request, or counts the bytes of its caller from now on. @returns Whether the request may be read. */
    handleCaller(caller: CallerExchange): boolean;
    /** Disconnects callers that have read nothing for too long, and resumes upstreams. */
    update(): void;
}

/** Accepts all requests. */
export const unboundedEdge: EdgeGuard = {
    handleCaller: () => true,
    update: () => {},
};

/** Options of {@link MemoryGuard}. */
export interface MemoryGuardOptions {
    /** Memory of the VM, in megabytes. */
    readonly memoryMb: number;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Called after each update with the bytes that are held. */
    readonly onUpdate?: ((heldBytes: number) => void) | undefined;
    /** Called for each request that is refused. */
    readonly onRefusal?: ((reason: RefusalReason) => void) | undefined;
    /** Called for each caller that is disconnected because it reads nothing. */
    readonly onStalled?: (() => void) | undefined;
}

/** Bounds the bytes that this VM holds for its callers. */
export class MemoryGuard implements EdgeGuard {
    readonly ledger: MemoryLedger<CallerExchange>;
    /** Continues reading an upstream, by the caller that reads its response. */
    private readonly paused = new Map<CallerExchange, (() => void)[]>();
    private readonly callers = new Set<CallerExchange>();
    private wasExceeded = false;

    constructor(private readonly options: MemoryGuardOptions) {
        this.ledger = new MemoryLedger(options);
    }

    handleCaller(caller: CallerExchange): boolean {
        const { readTime, onRefusal } = this.options;
        const add = (): boolean => this.ledger.add(caller, caller.announcedBytes, readTime());
        if (!add() && !this.runWithRoom(caller, add)) {
            onRefusal?.(memoryRefusal.reason);
            caller.refuse(memoryRefusal);
            return false;
        }
        this.callers.add(caller);
        caller.onClosed(() => this.remove(caller));
        caller.setMeter(this.createMeter(caller));
        return true;
    }

    update(): void {
        const { log, readTime, onUpdate, onStalled } = this.options;
        for (const caller of this.callers) {
            this.updateCaller(caller);
        }
        for (const caller of this.ledger.listStalled(readTime())) {
            onStalled?.();
            log.record("callerStalled", { path: caller.path, unread: caller.unreadBytes });
            caller.closeConnection();
            this.remove(caller);
        }
        this.recordState();
        onUpdate?.(this.ledger.heldBytes);
    }

    private createMeter(caller: CallerExchange): CallerMeter {
        const { readTime } = this.options;
        return {
            recordBody: bytes => {
                const record = (count: number) => this.ledger.recordBody(caller, count, readTime());
                return record(bytes) || this.runWithRoom(caller, () => record(0)) ? undefined : memoryRefusal;
            },
            finishBody: () => this.ledger.finishBody(caller, readTime()),
            recordWrite: () => this.updateCaller(caller),
            waitForRoom: listener => {
                this.paused.set(caller, [...this.paused.get(caller) ?? [], listener]);
            },
        };
    }

    /** Refuses other bodies that have taken long, one after the other, until something can be done. */
    private runWithRoom(caller: CallerExchange, act: () => boolean): boolean {
        for (;;) {
            const longest = this.ledger.findLongestUpload(this.options.readTime());
            if (longest === undefined || longest === caller) {
                return false;
            }
            this.remove(longest);
            longest.refuseBody(memoryRefusal);
            if (act()) {
                return true;
            }
        }
    }

    /** Updates the bytes that wait for a caller, and resumes its upstream if there is room. */
    private updateCaller(caller: CallerExchange): boolean {
        const bytes = { unread: caller.unreadBytes, taken: caller.takenBytes };
        const mayRead = this.ledger.updateResponse(caller, bytes, this.options.readTime());
        const listeners = mayRead ? this.paused.get(caller) : undefined;
        if (listeners !== undefined) {
            this.paused.delete(caller);
            listeners.forEach(resume => resume());
        }
        return mayRead;
    }

    private remove(caller: CallerExchange): void {
        this.callers.delete(caller);
        this.paused.delete(caller);
        this.ledger.remove(caller);
    }

    private recordState(): void {
        const { isExceeded, heldBytes, boundBytes, count } = this.ledger;
        if (isExceeded !== this.wasExceeded) {
            this.wasExceeded = isExceeded;
            const event = isExceeded ? "memoryBoundExceeded" : "memoryBoundKept";
            this.options.log.recordImportant(event, { heldBytes, boundBytes: Math.round(boundBytes), callers: count });
        }
    }
}
