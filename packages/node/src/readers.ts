/**
 * A reader that has not been heard of for this long reads no longer for others, in milliseconds: it tells how far it has
 * read every 250 ms, and what it reads must be in force everywhere within 2 s.
 */
const readerLifeMs = 700;

/** Options of {@link StoreReaders}. */
export interface StoreReadersOptions {
    readonly vm: string;
    readonly dataCentre: string;
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

    /** The VM that reads for this one; undefined if this one must read by itself. */
    findReader(now: number): string | undefined {
        const readers = [...this.states].filter(([vm, { dataCentre, canRead, heardAt }]) =>
            canRead && dataCentre === this.options.dataCentre && vm < this.options.vm && now - heardAt <= readerLifeMs
        );
        return readers.map(([vm]) => vm).sort()[0];
    }
}
