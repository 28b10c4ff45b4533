/** Most bytes that one connection reads before others have their turn. */
export const readShareBytes = 16 * 1024;

/** Options of {@link ReadQueue}. */
export interface ReadQueueOptions {
    /** Readers that continue in one iteration of the event loop. @default 2 */
    readonly readersPerIteration?: number;
    /** Calls a function in the next iteration of the event loop. @default setImmediate */
    readonly scheduleNext?: (run: () => void) => void;
}

/**
 * Readers that have read their share and wait for another one. A body in chunks of one byte takes about a microsecond for
 * each of them, so reading a connection until it is empty would hold up timers and all other connections for as long as
 * its sender keeps it full. Few readers continue in each iteration of the event loop, in the order in which they came.
 */
export class ReadQueue {
    private readonly waiting: (() => void)[] = [];
    private readonly readersPerIteration: number;
    private readonly scheduleNext: (run: () => void) => void;
    private isScheduled = false;

    constructor({ readersPerIteration = 2, scheduleNext = setImmediate }: ReadQueueOptions = {}) {
        this.readersPerIteration = readersPerIteration;
        this.scheduleNext = scheduleNext;
    }

    /** Calls a reader back when it may read its next share. */
    push(readOn: () => void): void {
        this.waiting.push(readOn);
        this.schedule();
    }

    /** Waits until a reader may read its next share. */
    async wait(): Promise<void> {
        await new Promise<void>(resolve => this.push(resolve));
    }

    private schedule(): void {
        if (!this.isScheduled && this.waiting.length > 0) {
            this.isScheduled = true;
            this.scheduleNext(() => this.run());
        }
    }

    private run(): void {
        this.isScheduled = false;
        this.waiting.splice(0, this.readersPerIteration).forEach(readOn => readOn());
        this.schedule();
    }
}

/** The queue of all connections on which this process waits for responses. */
export const responseReads = new ReadQueue();
