import type { DispatchRequest } from "./types.js";

/**
 * Virtual clock of start-time fair queueing. Between customers of a class, the request with the lowest start tag goes
 * first, and each request advances its customer's next tag by its cost divided by the customer's weight. A burst of one
 * customer therefore waits behind single requests of others, and an idle customer accumulates no credit.
 */
export class VirtualClock {
    private virtualTime = 0;
    private readonly finishTags = new Map<string, number>();

    /** Returns the start tag of a request that arrives now. */
    createTag(request: DispatchRequest): number {
        const start = Math.max(this.virtualTime, this.finishTags.get(request.customer) ?? 0);
        this.finishTags.set(request.customer, start + 1 / request.weight);
        return start;
    }

    /** Advances to the tag of a dispatched request, and removes customers whose finish tag is not later. */
    advance(tag: number): void {
        if (tag <= this.virtualTime) {
            return;
        }
        this.virtualTime = tag;
        if (this.finishTags.size <= this.pruneAt) {
            return;
        }
        for (const [customer, finish] of this.finishTags) {
            if (finish <= this.virtualTime) {
                this.finishTags.delete(customer);
            }
        }
        this.pruneAt = 2 * this.finishTags.size + minPruneCustomers;
    }

    private pruneAt = minPruneCustomers;
}

/** Number of customers that are stored before the first pruning. */
const minPruneCustomers = 1000;
