/** One moment on both clocks of a machine. The wall clock goes on while a VM is suspended, the monotonic one may not. */
export interface Instant {
    /** Milliseconds of the monotonic clock. */
    readonly monotonic: number;
    /** Milliseconds since 1970. */
    readonly wall: number;
}

/** Now, on both clocks. */
export function readInstant(): Instant {
    return { monotonic: performance.now(), wall: Date.now() };
}

/** Whether less than `ms` has passed since `start` on both clocks. A wall clock that was set back counts as passed. */
export function isWithin(start: Instant, ms: number, now: Instant): boolean {
    const wallMs = now.wall - start.wall;
    return now.monotonic - start.monotonic < ms && wallMs < ms && wallMs > -ms;
}
