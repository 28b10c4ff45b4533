import type { CustomerClass } from "@radishreel/dispatch";
import type { Use } from "@radishreel/protocol";

interface MutableUse {
    readonly engineId: string;
    readonly model: string;
    paying: number;
    trial: number;
}

/** Counts the requests that run, or may still run, by engine and model. */
export class UseCounter {
    private readonly uses = new Map<string, MutableUse>();
    /** Uses that ended without the engine's word, and the renewal that must tell of them. */
    private readonly unsure = new Map<string, { use: Use; since: number; }>();

    /** Counts a request from its dispatch on. */
    add(engineId: string, model: string, customerClass: CustomerClass): void {
        const key = formatKey(engineId, model);
        const use = this.uses.get(key) ?? { engineId, model, paying: 0, trial: 0 };
        use[customerClass]++;
        this.uses.set(key, use);
    }

    /**
     * Ends a use. Returns whether it was the last of its engine and model.
     * @param isSure Whether the engine itself said that the request ended.
     * @param sequence Next renewal, which tells of the use if it is not sure.
     */
    remove(engineId: string, model: string, customerClass: CustomerClass, isSure: boolean, sequence: number): boolean {
        const key = formatKey(engineId, model);
        const use = this.uses.get(key);
        if (use === undefined) {
            return false;
        }
        use[customerClass]--;
        if (!isSure) {
            this.unsure.set(key, { use: { engineId, model, paying: 0, trial: 0 }, since: sequence });
        }
        const isLast = use.paying + use.trial === 0;
        if (isLast) {
            this.uses.delete(key);
        }
        return isLast;
    }

    list(): Use[] {
        return [...this.uses.values()].map(use => ({ ...use }));
    }

    listUnsure(): Use[] {
        return [...this.unsure.values()].map(({ use }) => use);
    }

    /** Every owner has been told of what was unsure before the renewal `sequence`. */
    removeUnsure(sequence: number): void {
        for (const [key, { since }] of this.unsure) {
            if (since <= sequence) {
                this.unsure.delete(key);
            }
        }
    }

    /** Own requests by engine. */
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
