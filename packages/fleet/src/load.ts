import type { UpstreamLoad } from "./types.js";

/** A request on an upstream, as its load counts it. */
export interface LoadShare {
    readonly upstream: string;
    readonly backlogTokens: number;
    readonly kvTokens: number;
    readonly hasLongAnswer: boolean;
}

/** Ends the parts of a request's load. */
export interface LoadHandle {
    /** The answer has begun: its prompt is read. */
    begin(): void;
    /** The request has left the upstream. */
    end(): void;
}

/** Load on upstreams, counted by the requests that make it. */
export class LoadCounter {
    private readonly loads = new Map<string, UpstreamLoad>();
    private readonly reading = new Map<string, Set<LoadShare>>();

    /** Counts a request until the returned functions are called. */
    add(share: LoadShare): LoadHandle {
        const reading = this.reading.get(share.upstream) ?? new Set();
        this.reading.set(share.upstream, reading.add(share));
        this.update(share, 1, share.backlogTokens, share.kvTokens);
        let hasBegun = false;
        let hasEnded = false;
        const begin = (): void => {
            if (!hasBegun) {
                hasBegun = true;
                reading.delete(share);
                this.update(share, 0, -share.backlogTokens, 0);
            }
        };
        const end = (): void => {
            if (!hasEnded) {
                begin();
                hasEnded = true;
                this.update(share, -1, 0, -share.kvTokens);
            }
        };
        return { begin, end };
    }

    /** Load of one upstream. */
    read(upstream: string): Readonly<UpstreamLoad> {
        return this.loads.get(upstream) ?? noLoad;
    }

    private update(share: LoadShare, active: number, backlogTokens: number, kvTokens: number): void {
        const load = this.loads.get(share.upstream) ?? { ...noLoad };
        load.active += active;
        load.backlogTokens += backlogTokens;
        load.kvTokens += kvTokens;
        load.longAnswers += share.hasLongAnswer ? active : 0;
        load.largestPrompt = Math.max(0, ...[...this.reading.get(share.upstream)!].map(other => other.backlogTokens));
        if (load.active === 0) {
            this.loads.delete(share.upstream);
            this.reading.delete(share.upstream);
        }
        else {
            this.loads.set(share.upstream, load);
        }
    }
}

/** Load of an upstream without any request. */
export const noLoad: Readonly<UpstreamLoad> = {
    active: 0,
    backlogTokens: 0,
    kvTokens: 0,
    longAnswers: 0,
    largestPrompt: 0,
};
