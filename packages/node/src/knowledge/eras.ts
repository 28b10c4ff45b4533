import { readEra, readNumber } from "@radishreel/fleet";

/**
 * Time after an outage of the store, or after its restore from an older copy, in which the operator and the upstreams
 * write again what it lacks, in milliseconds. Running upstreams register again within about 2 s.
 */
export const rewriteMs = 2100;

/** Origin of what this VM reads from the store itself, in log lines; otherwise the name of a VM. */
export const storeOrigin = "store";

/** Fields of a log line that name a position. */
export function explainPosition(position: number): { readonly position: number; readonly era: number; } {
    return { position: readNumber(position), era: readEra(position) };
}

/** Options of {@link StoreEra}. */
export interface StoreEraOptions {
    readonly readTime: () => number;
    /** Called once for each era after the first one that is known, before any record of it is applied. */
    readonly onRestored: (era: number, previousEra: number, from: string) => void;
}

/** The newest era of the store that this VM knows, from the store or from other VMs. */
export class StoreEra {
    private newestEra: number | undefined;
    private restoredAt = -Infinity;

    constructor(private readonly options: StoreEraOptions) {}

    /** The newest known era; 0 until one is known. */
    get newest(): number {
        return this.newestEra ?? 0;
    }

    /** Whether a restored copy of the store may still lack what was written before. */
    get isIncomplete(): boolean {
        return this.options.readTime() - this.restoredAt < rewriteMs;
    }

    /** @param from Who told this VM: the store, or the name of a VM. */
    update(era: number, from: string): void {
        const previousEra = this.newestEra;
        if (previousEra !== undefined && era <= previousEra) {
            return;
        }
        this.newestEra = era;
        if (previousEra !== undefined) {
            this.restoredAt = this.options.readTime();
            this.options.onRestored(era, previousEra, from);
        }
    }
}
