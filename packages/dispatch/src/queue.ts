import TinyQueue from "tinyqueue";
import type { AccountClass, DispatchRequest, ModelDemand } from "./types.js";

/** One waiting request. */
export interface QueueEntry {
    readonly request: DispatchRequest;
    /** Start tag of fair queueing. */
    readonly tag: number;
    /** Engines that did not run the request, with the time until which they are not chosen again. */
    readonly excluded: Map<string, number>;
    /** Time at which the request began to wait for a load; undefined if its model was leased on arrival. */
    readonly stalledAt: number | undefined;
    /** Time of the next check: the deadline, or the latest start of a load that finishes before the deadline. */
    checkAt: number;
    isWaiting: boolean;
}

interface ClassQueue {
    readonly heap: TinyQueue<QueueEntry>;
    count: number;
    /** Sum of the arrival times of the waiting requests. */
    startSum: number;
    arrivals: number;
}

function compareEntries(left: QueueEntry, right: QueueEntry): number {
    return left.tag - right.tag || left.request.arrivedAt - right.request.arrivedAt;
}

function createClassQueue(): ClassQueue {
    return { heap: new TinyQueue<QueueEntry>([], compareEntries), count: 0, startSum: 0, arrivals: 0 };
}

/** Queue of the requests that wait for one model. */
export class ModelQueue {
    /** Engines on which the model is leased. */
    readonly engines = new Set<string>();
    /** Last time at which the model became leased on an engine after it was leased on none. */
    leasedAt = -Infinity;
    private readonly classes: Record<AccountClass, ClassQueue> = {
        paying: createClassQueue(),
        trial: createClassQueue(),
    };

    private reportedCounts: Record<AccountClass, number> = { paying: 0, trial: 0 };

    constructor(readonly model: string) {}

    push(entry: QueueEntry): void {
        const queue = this.classes[entry.request.accountClass];
        queue.heap.push(entry);
        queue.count++;
        queue.startSum += entry.request.arrivedAt;
    }

    /** Removes an entry; the heap drops it when it reaches the head. */
    remove(entry: QueueEntry): void {
        const queue = this.classes[entry.request.accountClass];
        entry.isWaiting = false;
        queue.count--;
        queue.startSum -= entry.request.arrivedAt;
    }

    /** Returns the next waiting entry of a class; undefined if no request waits. */
    findHead(accountClass: AccountClass): QueueEntry | undefined {
        const { heap } = this.classes[accountClass];
        while (heap.length > 0 && !heap.peek()!.isWaiting) {
            heap.pop();
        }
        return heap.peek();
    }

    countWaiting(accountClass: AccountClass): number {
        return this.classes[accountClass].count;
    }

    /** Whether the number of waiting requests differs from the last report to the placer. */
    get hasWaitingChanged(): boolean {
        const { paying, trial } = this.classes;
        return paying.count !== this.reportedCounts.paying || trial.count !== this.reportedCounts.trial;
    }

    get isEmpty(): boolean {
        return this.classes.paying.count + this.classes.trial.count === 0;
    }

    recordArrival(accountClass: AccountClass): void {
        this.classes[accountClass].arrivals++;
    }

    /** Returns the demand report for the placer and resets the arrival counts. */
    readDemand(now: number): ModelDemand {
        const { paying, trial } = this.classes;
        const demand: ModelDemand = {
            model: this.model,
            paying: { count: paying.count, ageMs: paying.count * now - paying.startSum },
            trial: { count: trial.count, ageMs: trial.count * now - trial.startSum },
            payingArrivals: paying.arrivals,
            trialArrivals: trial.arrivals,
        };
        paying.arrivals = 0;
        trial.arrivals = 0;
        this.reportedCounts = { paying: paying.count, trial: trial.count };
        return demand;
    }
}
