import type { Upstream } from "@radishreel/fleet";
import { processTimers, type Timers } from "../clock.js";
import type { ProbeResult } from "../paths/index.js";
import type { RequestDigest } from "../requests/digest.js";

/** Delays before the probes of an upstream, in milliseconds; each further probe is only sent after a silent one. */
const probeDelaysMs = [5, 250, 1000];

/** How long an upstream whose runs broke is watched for its end, in milliseconds: an upstream restarts within 5 s. */
const watchLifetimeMs = 10_000;

/**
 * Time for which the events of a run must have arrived, in milliseconds, so that it does not count as the cause of its
 * upstream's end: a request that ends upstreams does so when it starts to run.
 */
export const stableRunMs = 200;

/** A run whose connection broke before its response was complete. */
export interface BrokenRun {
    readonly requestId: string | undefined;
    readonly digest: RequestDigest;
    /** Ids of the parts of its prompt that other requests may share. */
    readonly parts: readonly string[];
    /** Time for which events had arrived, in milliseconds; undefined if none had arrived. */
    readonly answeringMs: number | undefined;
    /** Time since the run was sent, in milliseconds. */
    readonly sentMs: number;
    /** Whether this VM ended the run since no data arrived, while the connection was still open. @default false */
    readonly isSilent?: boolean | undefined;
}

/** An upstream whose process ended, and the runs of this VM that broke with it. */
export interface UpstreamEnd {
    readonly upstream: Upstream;
    readonly runs: readonly BrokenRun[];
}

/** Options of {@link CrashMonitor}. */
export interface CrashMonitorOptions {
    readonly readTime: () => number;
    readonly onEnd: (end: UpstreamEnd) => void;
    /** Opens a connection to an upstream and closes it. */
    readonly probe: (upstream: Upstream) => Promise<ProbeResult>;
    /** @default timers of this process */
    readonly timers?: Timers | undefined;
}

/** An upstream whose runs broke. */
interface WatchedUpstream {
    readonly upstream: Upstream;
    readonly brokenAt: number;
    runs: BrokenRun[];
    /**
     * `asked`: the outcome is unknown; `listening`: the address accepted connections; `ended`: the process has ended.
     */
    state: "asked" | "listening" | "ended";
    /** Resolves once the first probe has a result, or timed out. */
    readonly settled: Promise<void>;
    readonly settle: () => void;
}

/**
 * Distinguishes upstreams that ended from upstreams that only lost a connection: a run breaks in the same way in both
 * cases. An upstream has ended if its address refuses connections, or another process uses that address. An address
 * that does not respond proves nothing, because the path to it may be partitioned. An address that accepts connections
 * may belong to the next process already; then the entry of that process tells of the end.
 */
export class CrashMonitor {
    private readonly watched = new Map<string, WatchedUpstream>();

    constructor(private readonly options: CrashMonitorOptions) {}

    /** Records a broken run of an upstream that is not leaving. Resolves after the first probe of the upstream. */
    async recordBrokenRun(upstream: Upstream, run: BrokenRun): Promise<void> {
        const known = this.watched.get(upstream.id);
        // An upstream that accepted connections after an earlier break may have ended since.
        const watched = known === undefined || known.state === "listening" ? this.startWatch(upstream) : known;
        if ((run.answeringMs ?? 0) < stableRunMs) {
            watched.runs.push(run);
            if (watched.state === "ended") {
                this.options.onEnd({ upstream, runs: [run] });
            }
        }
        return watched.settled;
    }

    /** Handles the announcement of an upstream. A watched upstream has ended if this one uses its address. */
    receiveEntry(upstream: Upstream): void {
        for (const watched of this.watched.values()) {
            if (watched.upstream.address === upstream.address && watched.upstream.id !== upstream.id) {
                this.recordUpstreamEnd(watched);
            }
        }
    }

    /** Drops upstreams whose end was not detected in time. */
    expireOld(): void {
        const brokenBefore = this.options.readTime() - watchLifetimeMs;
        for (const [id, { brokenAt }] of this.watched) {
            if (brokenAt < brokenBefore) {
                this.watched.delete(id);
            }
        }
    }

    private startWatch(upstream: Upstream): WatchedUpstream {
        let settle: () => void = () => {};
        const settled = new Promise<void>(resolve => {
            settle = resolve;
        });
        const brokenAt = this.options.readTime();
        const watched: WatchedUpstream = { upstream, brokenAt, runs: [], state: "asked", settled, settle };
        this.watched.set(upstream.id, watched);
        this.scheduleProbe(watched, 0);
        return watched;
    }

    private scheduleProbe(watched: WatchedUpstream, index: number): void {
        const waitMs = probeDelaysMs[index];
        if (waitMs === undefined) {
            return;
        }
        const { timers = processTimers } = this.options;
        timers.scheduleOnce(() => void this.sendProbe(watched, index), waitMs);
    }

    private async sendProbe(watched: WatchedUpstream, index: number): Promise<void> {
        if (watched.state === "ended") {
            return;
        }
        const result = await this.options.probe(watched.upstream);
        switch (result) {
            case "refused":
                this.recordUpstreamEnd(watched);
                break;
            case "open":
                watched.state = "listening";
                // The process was alive when this VM ended the run, so the run has not ended it.
                watched.runs = watched.runs.filter(({ isSilent }) => isSilent !== true);
                break;
            case "silent":
                this.scheduleProbe(watched, index + 1);
        }
        // Requests only wait for the first probe: the path to an address that does not respond may be partitioned.
        watched.settle();
    }

    private recordUpstreamEnd(watched: WatchedUpstream): void {
        if (watched.state === "ended") {
            return;
        }
        watched.state = "ended";
        if (watched.runs.length > 0) {
            this.options.onEnd({ upstream: watched.upstream, runs: watched.runs });
        }
        watched.settle();
    }
}
