/** Progress of a stream across all attempts of its request. */
export interface StreamProgress {
    /** Id of the last event that was sent to the caller. */
    lastEventId: string | undefined;
    /** Number of events that were sent to the caller. */
    events: number;
    /** When the first event was sent to the caller; undefined before that. */
    firstEventAt: number | undefined;
    lastEventAt: number;
    /** Longest pause between two events, in milliseconds. */
    longestPauseMs: number;
}

/** Records that events were sent to the caller. */
export function recordProgress(progress: StreamProgress, events: number, now: number): void {
    if (progress.firstEventAt === undefined) {
        progress.firstEventAt = now;
    }
    else {
        progress.longestPauseMs = Math.max(progress.longestPauseMs, now - progress.lastEventAt);
    }
    progress.lastEventAt = now;
    progress.events += events;
}
