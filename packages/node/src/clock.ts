/** Steady time of this process, in milliseconds. It stands still while the VM is suspended. */
export function readNow(): number {
    return performance.now();
}

/**
 * A difference between steps of the time of day and of steady time beyond this counts as a suspension, in milliseconds.
 * Clocks are corrected by less than that at a time.
 */
const suspensionMs = 120;

/** Options of {@link BootClock}. */
export interface BootClockOptions {
    /** @default steady time of this process */
    readonly readSteady?: () => number;
    /** @default time of day */
    readonly readWall?: () => number;
}

/**
 * Time in milliseconds that goes on while the VM is suspended, as far as it can be told: steady time plus each forward
 * jump of the time of day against it. A clock that is set forward looks the same and counts too, which is on the safe
 * side for all that lapses. Node.js offers no clock that counts suspended time itself: `os.uptime` reads a file.
 */
export class BootClock {
    private readonly readSteady: () => number;
    private readonly readWall: () => number;
    private offset: number;
    private suspended = 0;

    constructor(options: BootClockOptions = {}) {
        this.readSteady = options.readSteady ?? readNow;
        this.readWall = options.readWall ?? Date.now;
        this.offset = this.readWall() - this.readSteady();
    }

    read(): number {
        const steady = this.readSteady();
        const offset = this.readWall() - steady;
        if (offset - this.offset > suspensionMs) {
            this.suspended += offset - this.offset;
        }
        this.offset = offset;
        return steady + this.suspended;
    }

    /** Time counted as suspended so far, in milliseconds. */
    get suspendedMs(): number {
        return this.suspended;
    }
}

/** Something that will run later. */
export interface ScheduledRun {
    cancel(): void;
}

/** Runs things later. Tests hand in one of simulated time. */
export interface Timers {
    scheduleOnce(run: () => void, waitMs: number): ScheduledRun;
    /** Does not keep the process alive. */
    scheduleEvery(run: () => void, intervalMs: number): ScheduledRun;
}

/** Timers of this process. */
export const processTimers: Timers = {
    scheduleOnce: (run, waitMs) => {
        const timer = setTimeout(run, waitMs);
        return { cancel: () => clearTimeout(timer) };
    },
    scheduleEvery: (run, intervalMs) => {
        const timer = setInterval(run, intervalMs).unref();
        return { cancel: () => clearInterval(timer) };
    },
};
