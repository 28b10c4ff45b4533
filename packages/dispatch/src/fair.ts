import type { DispatchRequest } from "./types.js";

/**
 * Virtual clock of start-time fair queueing. Between client accounts of a class, the request with the lowest start tag
 * goes first, and each request advances its account's next tag by its cost divided by the account's weight. A burst of
 * one account therefore waits behind single requests of others, and an idle account accumulates no credit.
 */
export class VirtualClock {
    private virtualTime = 0;
    private readonly finishTags = new Map<string, number>();

    /** Returns the start tag of a request that arrives now. */
    createTag(request: DispatchRequest): number {
        const start = Math.max(this.virtualTime, this.finishTags.get(request.account) ?? 0);
        this.finishTags.set(request.account, start + 1 / request.weight);
        return start;
    }

    /** Advances to the tag of a dispatched request, and removes accounts whose finish tag is not later. */
    advance(tag: number): void {
        if (tag <= this.virtualTime) {
            return;
        }
        this.virtualTime = tag;
        if (this.finishTags.size <= this.pruneAt) {
            return;
        }
        for (const [account, finish] of this.finishTags) {
            if (finish <= this.virtualTime) {
                this.finishTags.delete(account);
            }
        }
        this.pruneAt = 2 * this.finishTags.size + minPruneAccounts;
    }

    private pruneAt = minPruneAccounts;
}

/** Number of accounts that are stored before the first pruning. */
const minPruneAccounts = 1000;
