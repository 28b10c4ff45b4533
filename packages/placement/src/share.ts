/** Options of {@link StoreShare}. */
export interface StoreShareOptions {
    readonly dataCentre: string;
    /** Loads per second that the weight store sustains, over all data centres. */
    readonly loadsPerSecond: number;
    /** Weights of the data centres; a data centre that is not listed has weight 1. */
    readonly weights: Readonly<Record<string, number>>;
    /** Time without a message after which a data centre is assumed to use its share, in milliseconds. @default 3000 */
    readonly silenceMs?: number;
}

interface OtherDataCentre {
    isWanting: boolean;
    receivedAt: number;
}

/**
 * A data centre's share of the weight store's load rate. Shares are fixed by weights; a data centre that has nothing to
 * load reports so and lends its share to the others. A data centre that sends no messages counts as using its share, so
 * that a network partition never makes both sides use the same share.
 */
export class StoreShare {
    private readonly others = new Map<string, OtherDataCentre>();
    private readonly silenceMs: number;

    constructor(private options: StoreShareOptions) {
        this.silenceMs = options.silenceMs ?? 3000;
    }

    /** Applies new offerings. */
    setOptions(options: StoreShareOptions): void {
        this.options = options;
    }

    /** Adds another data centre before its first message. */
    addDataCentre(dataCentre: string): void {
        if (dataCentre !== this.options.dataCentre && !this.others.has(dataCentre)) {
            this.others.set(dataCentre, { isWanting: true, receivedAt: -Infinity });
        }
    }

    /** Applies another data centre's report of whether it has loads to run. */
    receive(dataCentre: string, isWanting: boolean, now: number): void {
        if (dataCentre !== this.options.dataCentre) {
            this.others.set(dataCentre, { isWanting, receivedAt: now });
        }
    }

    /** Returns the loads per second that this data centre may start now. */
    readLoadRate(now: number): number {
        const { dataCentre, loadsPerSecond, weights } = this.options;
        const own = weights[dataCentre] ?? 1;
        let total = own;
        for (const [other, { isWanting, receivedAt }] of this.others) {
            if (isWanting || now - receivedAt > this.silenceMs) {
                total += weights[other] ?? 1;
            }
        }
        return loadsPerSecond * own / total;
    }
}
