/**
 * Followers drop a reader that has sent no positions for this many pauses between reads. With pauses of 300 ms a reader
 * sends its positions every 250 ms and is dropped after 0.7 s. What is read must be in use on all VMs within 2 s.
 */
const readerTimeoutPauses = 7 / 3;

/** Default pause between two reads of upstream entries from the store, in milliseconds. */
export const defaultEntriesPauseMs = 300;

/** Options of {@link StoreReaders}. */
export interface StoreReadersOptions {
    readonly vm: string;
    readonly dataCentre: string;
    /** Pause between two reads of upstream entries from the store, in milliseconds. @default 300 */
    readonly entriesPauseMs?: number | undefined;
}

/** What a VM last reported about its reading of the store. */
interface ReaderState {
    readonly dataCentre: string;
    readonly canRead: boolean;
    readonly updatedAt: number;
}

/**
 * Selects the VM that reads the store for a data centre: the first VM by name that reaches the store. The other VMs
 * follow it, so the number of calls to the store grows with the number of data centres and not of VMs. A VM that knows
 * no reader in its data centre reads the store itself, so the VMs need no agreement.
 */
export class StoreReaders {
    private readonly states = new Map<string, ReaderState>();

    constructor(private readonly options: StoreReadersOptions) {}

    /** Records whether a VM reads the store and reaches it. */
    update(vm: string, dataCentre: string, canRead: boolean, now: number): void {
        this.states.set(vm, { dataCentre, canRead, updatedAt: now });
    }

    removeVm(vm: string): void {
        this.states.delete(vm);
    }

    /** Lists VMs that read the store and reach it, in all data centres. */
    listReaders(now: number): string[] {
        return [...this.states].filter(([, state]) => state.canRead && this.isFresh(state, now)).map(([vm]) => vm);
    }

    private isFresh({ updatedAt }: ReaderState, now: number): boolean {
        return now - updatedAt <= readerTimeoutPauses * (this.options.entriesPauseMs ?? defaultEntriesPauseMs);
    }

    /** Finds the VM that reads the store for this one; undefined if this VM must read the store itself. */
    findReader(now: number): string | undefined {
        const { vm: self, dataCentre: own } = this.options;
        let first: string | undefined;
        for (const [vm, state] of this.states) {
            const isReader = state.canRead && state.dataCentre === own && this.isFresh(state, now);
            if (isReader && vm < (first ?? self)) {
                first = vm;
            }
        }
        return first;
    }
}
