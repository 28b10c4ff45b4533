/** Monotonic time of this process, in milliseconds. This clock stops while the VM is suspended. */
export function readNow(): number {
    return performance.now();
}

/**
 * A forward jump of the wall clock against the monotonic clock counts as a suspension if it is larger than this, in
 * milliseconds. Corrections of the clock are smaller.
 */
const minSuspensionMs = 120;

/** Options of {@link BootClock}. */
export interface BootClockOptions {
    /** @default monotonic time of this process */
    readonly readSteady?: () => number;
    /** @default wall clock time */
    readonly readWall?: () => number;
}

/**
 * Boot time: a clock in milliseconds that also counts the time while the VM is suspended. Boot time is estimated as
 * monotonic time plus each forward jump of the wall clock. A wall clock that is set forward looks like a suspension and
 * is counted too; whatever expires by boot time then expires early, which is safe. Node.js has no clock that counts
 * suspended time, and `os.uptime` reads a file on each call.
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
        if (offset - this.offset > minSuspensionMs) {
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

/** A scheduled callback. */
export interface ScheduledRun {
    cancel(): void;
}

/** Schedules callbacks. Tests pass an implementation that runs on simulated time. */
export interface Timers {
    scheduleOnce(run: () => void, waitMs: number): ScheduledRun;
    /** The interval does not keep the process alive. */
    scheduleEvery(run: () => void, intervalMs: number): ScheduledRun;
}

/**
 * Schedules a callback that runs once pending data has been read: a process that was suspended finds its timers due
 * before it reads what arrived in the meantime.
 */
export function scheduleAfterReads(run: () => void, waitMs: number): ScheduledRun {
    let check: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => {
        check = setImmediate(run);
    }, waitMs);
    return {
        cancel: () => {
            clearTimeout(timer);
            clearImmediate(check);
        },
    };
}

/** Delay of a timer by which this process counts as suspended meanwhile, in milliseconds. */
const suspendedMs = 50;

/** Time for what arrived while this process was suspended, in milliseconds. */
const resumeMs = 200;

/**
 * Schedules a callback like {@link scheduleAfterReads}, and later if this process was suspended meanwhile: it may take
 * several turns to handle what arrived.
 */
export function scheduleWhileAwake(run: () => void, waitMs: number): ScheduledRun {
    const dueAt = readNow() + waitMs;
    let scheduled = scheduleAfterReads(() => {
        if (readNow() - dueAt < suspendedMs) {
            run();
            return;
        }
        scheduled = scheduleAfterReads(run, resumeMs);
    }, waitMs);
    return { cancel: () => scheduled.cancel() };
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
