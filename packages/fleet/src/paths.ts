/**
 * Head start of a direct connection over one through another VM, in milliseconds. Connecting within a region takes some
 * milliseconds, and a timer of a busy process is late by some tens.
 */
const directHeadStartMs = 100;

/** Shortest and longest pause between two direct attempts to reach an upstream, in milliseconds. */
const minDirectPauseMs = 200;
const maxDirectPauseMs = 800;

/** How long a VM that could not carry a connection, at all or to one upstream, is not asked again, in milliseconds. */
const relaySkipMs = 1000;

/** Why a direct connection failed. */
export type PathFailure = "refused" | "silent";

/** How a connection to an upstream is opened. */
export interface PathChoice {
    readonly triesDirect: boolean;
    /** Delay before the connection is also tried through another VM, in milliseconds. */
    readonly tunnelDelayMs: number;
}

interface FailedPath {
    readonly failure: PathFailure;
    readonly pauseMs: number;
    retryAt: number;
}

/** Which upstreams this VM cannot connect to directly. */
export class DirectPaths {
    private readonly failed = new Map<string, FailedPath>();

    /** Number of upstreams that this VM cannot connect to. */
    get failedCount(): number {
        return this.failed.size;
    }

    /** Chooses how to connect. Only one direct attempt is made in each pause after a failure. */
    choose(upstream: string, now: number): PathChoice {
        const path = this.failed.get(upstream);
        if (path === undefined) {
            return { triesDirect: true, tunnelDelayMs: directHeadStartMs };
        }
        const triesDirect = now >= path.retryAt;
        if (triesDirect) {
            path.retryAt = now + path.pauseMs;
        }
        return { triesDirect, tunnelDelayMs: 0 };
    }

    recordOpened(upstream: string): void {
        this.failed.delete(upstream);
    }

    recordFailed(upstream: string, failure: PathFailure, now: number): void {
        const known = this.failed.get(upstream);
        const pauseMs = known === undefined ? minDirectPauseMs : Math.min(known.pauseMs * 2, maxDirectPauseMs);
        this.failed.set(upstream, { failure, pauseMs, retryAt: now + pauseMs });
    }

    /** Finds why the last direct connection failed; undefined if it was opened. */
    findFailure(upstream: string): PathFailure | undefined {
        return this.failed.get(upstream)?.failure;
    }

    /**
     * Whether this VM seems to be cut off: it cannot connect to most of its upstreams. What refuses its connections may
     * run all the same.
     */
    isCutOff(upstreamCount: number): boolean {
        return this.failed.size * 2 > upstreamCount;
    }

    remove(upstream: string): void {
        this.failed.delete(upstream);
    }
}

/** Another VM that may carry connections. */
export interface RelayCandidate {
    readonly vm: string;
    readonly dataCentre: string | undefined;
}

/** Ranks the VMs that may carry connections of this VM to upstreams. */
export class Relays {
    private readonly skippedUntil = new Map<string, number>();
    /** Until when a VM is not asked for connections to one upstream, by VM and upstream. */
    private readonly unreachedUntil = new Map<string, Map<string, number>>();
    private readonly tunnelCounts = new Map<string, number>();

    /** @param dataCentre Data centre of this VM. */
    constructor(private readonly dataCentre: string) {}

    /** Lists the VMs to ask: first those of the own data centre, then those that carry fewer connections of this VM. */
    rank(candidates: readonly RelayCandidate[], upstream: string, now: number): string[] {
        return candidates
            .filter(({ vm }) => now >= (this.skippedUntil.get(vm) ?? -Infinity))
            .filter(({ vm }) => now >= (this.unreachedUntil.get(vm)?.get(upstream) ?? -Infinity))
            .map(({ vm, dataCentre }) => ({
                vm,
                distance: dataCentre === this.dataCentre ? 0 : 1,
                tunnels: this.tunnelCounts.get(vm) ?? 0,
            }))
            .sort((left, right) => left.distance - right.distance || left.tunnels - right.tunnels)
            .map(({ vm }) => vm);
    }

    /** Records that a VM carries no connections at present. */
    recordFailed(vm: string, now: number): void {
        this.skippedUntil.set(vm, now + relaySkipMs);
    }

    /** Records that a VM has not reached an upstream either: it may carry connections to others. */
    recordUnreached(vm: string, upstream: string, now: number): void {
        const known = [...this.unreachedUntil.get(vm) ?? []].filter(([, until]) => until > now);
        this.unreachedUntil.set(vm, new Map([...known, [upstream, now + relaySkipMs]]));
    }

    /** Whether one of these VMs was asked of late and has not reached the upstream either. */
    hasUnreached(candidates: readonly RelayCandidate[], upstream: string, now: number): boolean {
        return candidates.some(({ vm }) => now < (this.unreachedUntil.get(vm)?.get(upstream) ?? -Infinity));
    }

    recordOpened(vm: string): void {
        this.tunnelCounts.set(vm, (this.tunnelCounts.get(vm) ?? 0) + 1);
    }

    recordClosed(vm: string): void {
        const count = (this.tunnelCounts.get(vm) ?? 0) - 1;
        if (count > 0) {
            this.tunnelCounts.set(vm, count);
        }
        else {
            this.tunnelCounts.delete(vm);
        }
    }

    removeVm(vm: string): void {
        this.skippedUntil.delete(vm);
        this.unreachedUntil.delete(vm);
    }
}
