import TinyQueue from "tinyqueue";
import type { CustomerClass, DispatchRequest, ModelDemand } from "./types.js";

/** One waiting request. */
export interface QueueEntry {
    readonly request: DispatchRequest;
    /** Start tag of fair queueing. */
    readonly tag: number;
    /** Engines that have refused it, and until when they are not asked again. */
    readonly excluded: Map<string, number>;
    /** When it began to wait for a load; undefined if its model was leased when it came. */
    readonly stalledAt: number | undefined;
    /** When it must be looked at again: its deadline, or when a load for it could no longer end in time. */
    checkAt: number;
    isWaiting: boolean;
}

interface ClassQueue {
    readonly heap: TinyQueue<QueueEntry>;
    count: number;
    /** Sum of the arrival times of those that wait. */
    startSum: number;
    arrivals: number;
}

function compareEntries(left: QueueEntry, right: QueueEntry): number {
    return left.tag - right.tag || left.request.arrivedAt - right.request.arrivedAt;
}

function createClassQueue(): ClassQueue {
    return { heap: new TinyQueue<QueueEntry>([], compareEntries), count: 0, startSum: 0, arrivals: 0 };
}

/** The requests that wait for one model. */
export class ModelQueue {
    /** Engines on which the model is leased. */
    readonly engines = new Set<string>();
    /** When it was last leased after having been leased nowhere. */
    leasedAt = -Infinity;
    private readonly classes: Record<CustomerClass, ClassQueue> = {
        paying: createClassQueue(),
        trial: createClassQueue(),
    };

    private told: Record<CustomerClass, number> = { paying: 0, trial: 0 };

    constructor(readonly model: string) {}

    push(entry: QueueEntry): void {
        const queue = this.classes[entry.request.customerClass];
        queue.heap.push(entry);
        queue.count++;
        queue.startSum += entry.request.arrivedAt;
    }

    /** Takes an entry out; the heap forgets it when it comes to its head. */
    remove(entry: QueueEntry): void {
        const queue = this.classes[entry.request.customerClass];
        entry.isWaiting = false;
        queue.count--;
        queue.startSum -= entry.request.arrivedAt;
    }

    /** The entry that goes first; undefined if none waits. */
    findHead(customerClass: CustomerClass): QueueEntry | undefined {
        const { heap } = this.classes[customerClass];
        while (heap.length > 0 && !heap.peek()!.isWaiting) {
            heap.pop();
        }
        return heap.peek();
    }

    countWaiting(customerClass: CustomerClass): number {
        return this.classes[customerClass].count;
    }

    /** Whether the number of those that wait differs from what the placer was last told. */
    get isWaitingChanged(): boolean {
        const { paying, trial } = this.classes;
        return paying.count !== this.told.paying || trial.count !== this.told.trial;
    }

    get isEmpty(): boolean {
        return this.classes.paying.count + this.classes.trial.count === 0;
    }

    recordArrival(customerClass: CustomerClass): void {
        this.classes[customerClass].arrivals++;
    }

    /** What to tell the placer; arrivals are counted anew from here. */
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
        this.told = { paying: paying.count, trial: trial.count };
        return demand;
    }
}
