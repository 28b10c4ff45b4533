/** Lets code wait until this process has read what had arrived at its sockets. */
export class PendingReads {
    private waiting: Promise<void> | undefined;

    /** @param scheduleNext Calls a function after the reads of an iteration of the event loop. @default setImmediate */
    constructor(private readonly scheduleNext: (run: () => void) => void = setImmediate) {}

    /**
     * Waits until each socket was read that had something to read before this call. A socket from which bytes were read in
     * this iteration of the event loop is read on in the next one, which tells whether its peer has closed it.
     */
    async wait(): Promise<void> {
        this.waiting ??= new Promise(resolve => {
            this.scheduleNext(() => {
                // The reads that those who come from now on wait for have not begun.
                this.waiting = undefined;
                this.scheduleNext(resolve);
            });
        });
        await this.waiting;
    }
}
