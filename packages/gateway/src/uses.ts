import type { AccountClass } from "@radishreel/dispatch";
import type { ModelUse } from "@radishreel/protocol";

interface MutableUse {
    readonly engineId: string;
    readonly model: string;
    paying: number;
    trial: number;
}

/** Counts the requests that run, or may still run, per engine and model. */
export class UseCounter {
    private readonly uses = new Map<string, MutableUse>();
    /** Uses whose end the engine did not confirm, and the first renewal that reports them. */
    private readonly unconfirmed = new Map<string, { use: ModelUse; since: number; }>();

    /** Counts a request that is being dispatched. */
    add(engineId: string, model: string, accountClass: AccountClass): void {
        const key = formatKey(engineId, model);
        const use = this.uses.get(key) ?? { engineId, model, paying: 0, trial: 0 };
        use[accountClass]++;
        this.uses.set(key, use);
    }

    /**
     * Removes a request. Returns whether it was the last request for its engine and model.
     * @param isConfirmed Whether the engine itself confirmed that the request ended.
     * @param sequence Sequence of the next renewal, which reports the use if its end is unconfirmed.
     */
    remove(
        engineId: string,
        model: string,
        accountClass: AccountClass,
        isConfirmed: boolean,
        sequence: number,
    ): boolean {
        const key = formatKey(engineId, model);
        const use = this.uses.get(key);
        if (use === undefined) {
            return false;
        }
        use[accountClass]--;
        if (!isConfirmed) {
            this.unconfirmed.set(key, { use: { engineId, model, paying: 0, trial: 0 }, since: sequence });
        }
        const isLast = use.paying + use.trial === 0;
        if (isLast) {
            this.uses.delete(key);
        }
        return isLast;
    }

    list(): ModelUse[] {
        return [...this.uses.values()].map(use => ({ ...use }));
    }

    listUnconfirmed(): ModelUse[] {
        return [...this.unconfirmed.values()].map(({ use }) => use);
    }

    /** Removes the unconfirmed uses that were reported by renewal `sequence`, which every owner has acknowledged. */
    removeUnconfirmed(sequence: number): void {
        for (const [key, { since }] of this.unconfirmed) {
            if (since <= sequence) {
                this.unconfirmed.delete(key);
            }
        }
    }

    /** Counts this gateway's requests per engine. */
    readInFlight(): Map<string, { paying: number; trial: number; }> {
        const totals = new Map<string, { paying: number; trial: number; }>();
        for (const use of this.uses.values()) {
            const total = totals.get(use.engineId) ?? { paying: 0, trial: 0 };
            total.paying += use.paying;
            total.trial += use.trial;
            totals.set(use.engineId, total);
        }
        return totals;
    }
}

function formatKey(engineId: string, model: string): string {
    return `${engineId} ${model}`;
}
