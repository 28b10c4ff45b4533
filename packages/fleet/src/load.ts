import type { UpstreamLoad } from "./types.js";

/** A request's contribution to the load of an upstream. */
export interface LoadShare {
    readonly upstream: string;
    readonly backlogTokens: number;
    readonly kvTokens: number;
    readonly hasLongAnswer: boolean;
}

/** Removes a request's contributions from the load. */
export interface LoadHandle {
    /** The response has started, so the prompt is prefilled. */
    begin(): void;
    /** The request has left the upstream. */
    end(): void;
}

/** Sums the load of the requests on each upstream. */
export class LoadCounter {
    private readonly loads = new Map<string, UpstreamLoad>();
    private readonly prefilling = new Map<string, Set<LoadShare>>();

    /** Adds a request's load, until the returned functions are called. */
    add(share: LoadShare): LoadHandle {
        const prefilling = this.prefilling.get(share.upstream) ?? new Set();
        this.prefilling.set(share.upstream, prefilling.add(share));
        this.update(share, 1, share.backlogTokens, share.kvTokens);
        let isPrefilled = false;
        let isFinished = false;
        const begin = (): void => {
            if (!isPrefilled) {
                isPrefilled = true;
                prefilling.delete(share);
                this.update(share, 0, -share.backlogTokens, 0);
            }
        };
        const end = (): void => {
            if (!isFinished) {
                begin();
                isFinished = true;
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
        load.largestPrompt = Math.max(
            0,
            ...[...this.prefilling.get(share.upstream)!].map(other => other.backlogTokens),
        );
        if (load.active === 0) {
            this.loads.delete(share.upstream);
            this.prefilling.delete(share.upstream);
        }
        else {
            this.loads.set(share.upstream, load);
        }
    }
}

/** Load of an upstream without requests. */
export const noLoad: Readonly<UpstreamLoad> = {
    active: 0,
    backlogTokens: 0,
    kvTokens: 0,
    longAnswers: 0,
    largestPrompt: 0,
};
