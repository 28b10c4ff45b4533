import type { Upstream } from "@radishreel/fleet";
import { parseAddress } from "@radishreel/wire";
import { connect } from "node:net";
import { processTimers, type Timers } from "../clock.js";
import type { RequestDigest } from "../requests/digest.js";

/** Waits before an upstream is asked whether it still listens, in milliseconds; a further one where nothing was learned. */
const probeWaitsMs = [5, 250, 1000];

/** Longest wait for the answer to a probe, in milliseconds. */
const probeTimeoutMs = 400;

/** How long runs that broke are kept for word that their upstream has ended, in milliseconds: one starts anew within 5 s. */
const pendingMs = 10_000;

/**
 * A run that its upstream had been answering for this long is not taken for what ended it, in milliseconds: what a request
 * does to an upstream it does when it begins to run.
 */
const steadyRunMs = 200;

/** What a probe says: nothing listens there, something does, or nothing came back. */
export type ProbeAnswer = "refused" | "open" | "silent";

/** One run that broke before its answer was whole. */
export interface BrokenRun {
    readonly requestId: string | undefined;
    readonly digest: RequestDigest;
    /** Time since its first event came, in milliseconds; undefined if none had come. */
    readonly answeringMs: number | undefined;
    /** Time since it was sent, in milliseconds. */
    readonly sentMs: number;
}

/** An upstream whose process has ended, and the runs of this VM that it took with it. */
export interface UpstreamEnd {
    readonly upstream: Upstream;
    readonly runs: readonly BrokenRun[];
}

/** Options of {@link CrashWatch}. */
export interface CrashWatchOptions {
    readonly readTime: () => number;
    readonly onEnd: (end: UpstreamEnd) => void;
    /** @default opens a connection to the address and closes it */
    readonly probe?: ((address: string) => Promise<ProbeAnswer>) | undefined;
    /** @default timers of this process */
    readonly timers?: Timers | undefined;
}

/** An upstream at which runs broke. */
interface WatchedUpstream {
    readonly upstream: Upstream;
    readonly brokenAt: number;
    readonly runs: BrokenRun[];
    state: "asked" | "listening" | "ended";
    /** Resolves once the first probe is answered, or has not been in time. */
    readonly settled: Promise<void>;
    readonly settle: () => void;
}

/**
 * Tells upstreams that have ended from those that only lost a connection: either way a run breaks alike. One has ended when
 * its address refuses connections, or another process has taken it. A silent address says nothing: the path may be cut.
 */
export class CrashWatch {
    private readonly watched = new Map<string, WatchedUpstream>();

    constructor(private readonly options: CrashWatchOptions) {}

    /** A run broke at an upstream that had not said that it leaves. Resolves once it is known whether that one has ended. */
    async recordBreak(upstream: Upstream, run: BrokenRun): Promise<void> {
        const known = this.watched.get(upstream.id);
        // One that listened after an earlier break may have ended since.
        const watched = known === undefined || known.state === "listening" ? this.startWatch(upstream) : known;
        if ((run.answeringMs ?? 0) < steadyRunMs) {
            watched.runs.push(run);
            if (watched.state === "ended") {
                this.options.onEnd({ upstream, runs: [run] });
            }
        }
        return watched.settled;
    }

    /** An entry of an upstream came: another process may have taken the address of one that is watched. */
    receiveEntry(upstream: Upstream): void {
        for (const watched of this.watched.values()) {
            if (watched.upstream.address === upstream.address && watched.upstream.id !== upstream.id) {
                this.recordEnd(watched);
            }
        }
    }

    /** Forgets upstreams of which nothing was heard for long. */
    expireOld(): void {
        const before = this.options.readTime() - pendingMs;
        for (const [id, { brokenAt }] of this.watched) {
            if (brokenAt < before) {
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
        const waitMs = probeWaitsMs[index];
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
        const { probe = openProbe } = this.options;
        const answer = await probe(watched.upstream.address);
        switch (answer) {
            case "refused":
                this.recordEnd(watched);
                break;
            case "open":
                watched.state = "listening";
                break;
            case "silent":
                this.scheduleProbe(watched, index + 1);
        }
        // Requests wait for the first answer only: an address that stays silent may be behind a cut.
        watched.settle();
    }

    private recordEnd(watched: WatchedUpstream): void {
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

/** Opens a connection and closes it at once. */
async function openProbe(address: string): Promise<ProbeAnswer> {
    const { host, port } = parseAddress(address);
    return new Promise(resolve => {
        const socket = connect({ host, port });
        const finish = (answer: ProbeAnswer): void => {
            clearTimeout(timer);
            socket.destroy();
            resolve(answer);
        };
        const timer = setTimeout(() => finish("silent"), probeTimeoutMs);
        socket.once("connect", () => finish("open"));
        socket.once(
            "error",
            (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED" ? "refused" : "silent"),
        );
    });
}
