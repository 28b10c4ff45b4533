/** One moment on both clocks of a VM. While a VM is suspended the wall clock advances; the monotonic clock may stop. */
export interface Instant {
    /** Milliseconds on the monotonic clock. */
    readonly monotonic: number;
    /** Milliseconds since 1970 (Unix time). */
    readonly wall: number;
}

/** Reads both clocks. */
export function readInstant(): Instant {
    return { monotonic: performance.now(), wall: Date.now() };
}

/** Whether less than `ms` has passed on both clocks since `start`. False if the wall clock was set back by `ms`. */
export function isWithin(start: Instant, ms: number, now: Instant): boolean {
    const wallMs = now.wall - start.wall;
    return now.monotonic - start.monotonic < ms && wallMs < ms && wallMs > -ms;
}
