import TinyQueue from "tinyqueue";

interface RankEntry {
    readonly model: string;
    readonly startSum: number;
    readonly revision: number;
}

interface WaitingRequests {
    count: number;
    /** Sum of the arrival times of the waiting requests. */
    startSum: number;
    revision: number;
}

/**
 * Ranks models by the total time that their requests have waited. The ranking changes over time, but not among models
 * with the same number of waiting requests. Each such group is a heap, and only the heads of the groups are compared.
 */
export class WaitRank {
    private readonly waiting = new Map<string, WaitingRequests>();
    private readonly groups = new Map<number, TinyQueue<RankEntry>>();
    private revision = 0;

    /** Sets the number of waiting requests of a model and the sum of their arrival times. A count of 0 removes it. */
    setWaiting(model: string, count: number, startSum: number): void {
        if (count === 0) {
            this.waiting.delete(model);
            return;
        }
        const revision = ++this.revision;
        this.waiting.set(model, { count, startSum, revision });
        const group = this.groups.get(count)
            ?? new TinyQueue<RankEntry>([], compareEntries);
        this.groups.set(count, group);
        group.push({ model, startSum, revision });
        if (group.length > minGroupEntries + maxGroupEntriesPerModel * this.waiting.size) {
            const current = group.data.filter(entry => this.isCurrent(entry));
            this.groups.set(count, new TinyQueue(current, compareEntries));
        }
    }

    get size(): number {
        return this.waiting.size;
    }

    /** Returns the total time that requests have waited for a model, in milliseconds. */
    readTotal(model: string, now: number): number {
        const entry = this.waiting.get(model);
        return entry === undefined ? 0 : entry.count * now - entry.startSum;
    }

    /** Returns the eligible model with the longest total wait. */
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
        const popped: RankEntry[] = [];
        let head: RankEntry | undefined;
        while (head === undefined && group.length > 0) {
            const entry = group.pop()!;
            if (!this.isCurrent(entry)) {
                continue;
            }
            popped.push(entry);
            head = isEligible(entry.model) ? entry : undefined;
        }
        for (const entry of popped) {
            group.push(entry);
        }
        return head;
    }

    /** Whether the entry is its model's latest; earlier entries stay in the heaps after an update. */
    private isCurrent(entry: RankEntry): boolean {
        return this.waiting.get(entry.model)?.revision === entry.revision;
    }
}

/**
 * Size limits of a heap: its stale entries are removed when it holds more than the minimum plus this many entries per
 * model with waiting requests.
 */
const maxGroupEntriesPerModel = 4;
const minGroupEntries = 100;

function compareEntries(left: RankEntry, right: RankEntry): number {
    return left.startSum - right.startSum;
}
