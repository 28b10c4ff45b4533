/** Options of {@link StoreShare}. */
export interface StoreShareOptions {
    readonly dataCentre: string;
    /** Loads a second that the weight store bears, over all data centres. */
    readonly loadsPerSecond: number;
    /** Weights of the data centres; one that is not listed weighs 1. */
    readonly weights: Readonly<Record<string, number>>;
    /** A data centre that was not heard for this long is taken to use its share. @default 3000 */
    readonly silenceMs?: number;
}

interface Other {
    isWanting: boolean;
    heardAt: number;
}

/**
 * A data centre's part of the weight store's rate. Shares are fixed by weights, and a data centre that has nothing to
 * load says so and lends its own. One that cannot be heard is counted as using its share, so that a cut never makes
 * two sides use the same part.
 */
export class StoreShare {
    private readonly others = new Map<string, Other>();
    private readonly silenceMs: number;

    constructor(private options: StoreShareOptions) {
        this.silenceMs = options.silenceMs ?? 3000;
    }

    /** Takes new offerings. */
    setOptions(options: StoreShareOptions): void {
        this.options = options;
    }

    /** Makes another data centre known, before it was ever heard. */
    addDataCentre(dataCentre: string): void {
        if (dataCentre !== this.options.dataCentre && !this.others.has(dataCentre)) {
            this.others.set(dataCentre, { isWanting: true, heardAt: -Infinity });
        }
    }

    /** Takes another data centre's word. */
    receive(dataCentre: string, isWanting: boolean, now: number): void {
        if (dataCentre !== this.options.dataCentre) {
            this.others.set(dataCentre, { isWanting, heardAt: now });
        }
    }

    /** Loads a second that this data centre may start now. */
    readRate(now: number): number {
        const { dataCentre, loadsPerSecond, weights } = this.options;
        const own = weights[dataCentre] ?? 1;
        let total = own;
        for (const [other, { isWanting, heardAt }] of this.others) {
            if (isWanting || now - heardAt > this.silenceMs) {
                total += weights[other] ?? 1;
            }
        }
        return loadsPerSecond * own / total;
    }
}
