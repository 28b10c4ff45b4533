import TinyQueue from "tinyqueue";

interface RankEntry {
    readonly model: string;
    readonly startSum: number;
    readonly stamp: number;
}

interface Waiting {
    count: number;
    /** Sum of the arrival times of those that wait. */
    startSum: number;
    stamp: number;
}

/**
 * Orders models by the total time that their requests have waited. That order changes as time passes, but among models
 * with equally many waiting requests it does not: each such group is a heap, and only the groups' heads are compared.
 */
export class WaitRank {
    private readonly waiting = new Map<string, Waiting>();
    private readonly groups = new Map<number, TinyQueue<RankEntry>>();
    private stamp = 0;

    /** Sets how many wait for a model and the sum of their arrival times. A count of 0 removes it. */
    setWaiting(model: string, count: number, startSum: number): void {
        if (count === 0) {
            this.waiting.delete(model);
            return;
        }
        const stamp = ++this.stamp;
        this.waiting.set(model, { count, startSum, stamp });
        const group = this.groups.get(count)
            ?? new TinyQueue<RankEntry>([], compareEntries);
        this.groups.set(count, group);
        group.push({ model, startSum, stamp });
        if (group.length > minGroupEntries + maxGroupEntries * this.waiting.size) {
            const current = group.data.filter(entry => this.isCurrent(entry));
            this.groups.set(count, new TinyQueue(current, compareEntries));
        }
    }

    get size(): number {
        return this.waiting.size;
    }

    /** Total time waited for a model, in milliseconds. */
    readTotal(model: string, now: number): number {
        const entry = this.waiting.get(model);
        return entry === undefined ? 0 : entry.count * now - entry.startSum;
    }

    /** The model with the longest total wait among those that are eligible. */
    findBest(now: number, isEligible: (model: string) => boolean): string | undefined {
        let best: string | undefined;
        let bestTotal = -Infinity;
        for (const [count, group] of this.groups) {
            const head = this.findHead(group, isEligible);
            if (group.length === 0) {
                this.groups.delete(count);
            }
            const total = head === undefined ? -Infinity : count * now - head.startSum;
            if (head !== undefined && total > bestTotal) {
                best = head.model;
                bestTotal = total;
            }
        }
        return best;
    }

    private findHead(group: TinyQueue<RankEntry>, isEligible: (model: string) => boolean): RankEntry | undefined {
        const passedOver: RankEntry[] = [];
        let head: RankEntry | undefined;
        while (head === undefined && group.length > 0) {
            const entry = group.pop()!;
            if (!this.isCurrent(entry)) {
                continue;
            }
            passedOver.push(entry);
            head = isEligible(entry.model) ? entry : undefined;
        }
        for (const entry of passedOver) {
            group.push(entry);
        }
        return head;
    }

    /** Later words on a model leave its older entries behind in the heaps. */
    private isCurrent(entry: RankEntry): boolean {
        return this.waiting.get(entry.model)?.stamp === entry.stamp;
    }
}

/** Entries that are tolerated in a heap for each model that waits, before the stale ones are dropped. */
const maxGroupEntries = 4;
const minGroupEntries = 100;

function compareEntries(left: RankEntry, right: RankEntry): number {
    return left.startSum - right.startSum;
}
