import type { DispatchRequest } from "./types.js";

/**
 * Start tags of start-time fair queueing: between customers of a class the request with the lowest tag goes first, and
 * each request moves its customer's next tag on by its cost over the customer's weight. A burst of one customer thus
 * waits behind others' single requests, and an idle customer saves nothing up.
 */
export class FairClock {
    private virtualTime = 0;
    private readonly finishTags = new Map<string, number>();

    /** Tag of a request that arrives now. */
    createTag(request: DispatchRequest): number {
        const start = Math.max(this.virtualTime, this.finishTags.get(request.customer) ?? 0);
        this.finishTags.set(request.customer, start + 1 / request.weight);
        return start;
    }

    /** Moves on to the tag of a request that is dispatched, and forgets customers that are not ahead of it. */
    advance(tag: number): void {
        if (tag <= this.virtualTime) {
            return;
        }
        this.virtualTime = tag;
        if (this.finishTags.size <= this.sweepAt) {
            return;
        }
        for (const [customer, finish] of this.finishTags) {
            if (finish <= this.virtualTime) {
                this.finishTags.delete(customer);
            }
        }
        this.sweepAt = 2 * this.finishTags.size + minSweep;
    }

    private sweepAt = minSweep;
}

/** Customers that are remembered before the first sweep. */
const minSweep = 1000;
