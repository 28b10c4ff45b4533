/**
 * A reader that has not been heard of for so many pauses between reads reads no longer for others: at 300 ms it tells how far
 * it has read every 250 ms, is given up after 0.7 s, and what it reads must be in force everywhere within 2 s.
 */
const readerLifePauses = 7 / 3;

/** Usual pause between two reads of the entries of upstreams, in milliseconds. */
export const usualEntriesPauseMs = 300;

/** Options of {@link StoreReaders}. */
export interface StoreReadersOptions {
    readonly vm: string;
    readonly dataCentre: string;
    /** Pause between two reads of the entries of upstreams, in milliseconds. @default 300 */
    readonly entriesPauseMs?: number | undefined;
}

/** What a VM tells of its own reading. */
interface ReaderState {
    readonly dataCentre: string;
    readonly canRead: boolean;
    readonly heardAt: number;
}

/**
 * Which VM reads the store for which: in each data centre the first one, by name, that reaches it; the others take from it
 * what it reads. Calls to the store then grow with the data centres and not with the VMs. A VM that does not hear of a
 * reader of its own data centre reads by itself; nothing has to be agreed.
 */
export class StoreReaders {
    private readonly states = new Map<string, ReaderState>();

    constructor(private readonly options: StoreReadersOptions) {}

    /** Takes word of a VM whether it reads the store and reaches it. */
    update(vm: string, dataCentre: string, canRead: boolean, now: number): void {
        this.states.set(vm, { dataCentre, canRead, heardAt: now });
    }

    removeVm(vm: string): void {
        this.states.delete(vm);
    }

    /** VMs that read the store and reach it, in any data centre. */
    listReaders(now: number): string[] {
        return [...this.states].filter(([, state]) => state.canRead && this.isFresh(state, now)).map(([vm]) => vm);
    }

    private isFresh({ heardAt }: ReaderState, now: number): boolean {
        return now - heardAt <= readerLifePauses * (this.options.entriesPauseMs ?? usualEntriesPauseMs);
    }

    /** The VM that reads for this one; undefined if this one must read by itself. */
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
