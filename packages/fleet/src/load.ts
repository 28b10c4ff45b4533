import type { UpstreamLoad } from "./types.js";

/** A request's contribution to the load of an upstream. */
export interface CountedRequest {
    readonly upstream: string;
    readonly backlogTokens: number;
    readonly kvTokens: number;
    readonly hasLongAnswer: boolean;
}

/** Removes a request's contributions from the load. */
export interface LoadHandle {
    /** The response has started, so the prompt is prefilled. */
    finishPrefill(): void;
    /** The request has left the upstream. */
    finish(): void;
}

/** Sums the load of the requests on each upstream. */
export class LoadCounter {
    private readonly loads = new Map<string, UpstreamLoad>();
    private readonly prefilling = new Map<string, Set<CountedRequest>>();

    /** Adds a request's load, until the returned functions are called. */
    add(request: CountedRequest): LoadHandle {
        const prefilling = this.prefilling.get(request.upstream) ?? new Set();
        this.prefilling.set(request.upstream, prefilling.add(request));
        this.update(request, 1, request.backlogTokens, request.kvTokens);
        let isPrefilled = false;
        let isFinished = false;
        const finishPrefill = (): void => {
            if (!isPrefilled) {
                isPrefilled = true;
                prefilling.delete(request);
                this.update(request, 0, -request.backlogTokens, 0);
            }
        };
        const finish = (): void => {
            if (!isFinished) {
                finishPrefill();
                isFinished = true;
                this.update(request, -1, 0, -request.kvTokens);
            }
        };
        return { finishPrefill, finish };
    }

    /** Load of one upstream. */
    read(upstream: string): Readonly<UpstreamLoad> {
        return this.loads.get(upstream) ?? idleLoad;
    }

    private update(request: CountedRequest, active: number, backlogTokens: number, kvTokens: number): void {
        const load = this.loads.get(request.upstream) ?? { ...idleLoad };
        load.active += active;
        load.backlogTokens += backlogTokens;
        load.kvTokens += kvTokens;
        load.longAnswers += request.hasLongAnswer ? active : 0;
        load.largestPrompt = Math.max(
            0,
            ...[...this.prefilling.get(request.upstream)!].map(other => other.backlogTokens),
        );
        if (load.active === 0) {
            this.loads.delete(request.upstream);
            this.prefilling.delete(request.upstream);
        }
        else {
            this.loads.set(request.upstream, load);
        }
    }
}

/** Load of an upstream without requests. */
export const idleLoad: Readonly<UpstreamLoad> = {
    active: 0,
    backlogTokens: 0,
    kvTokens: 0,
    longAnswers: 0,
    largestPrompt: 0,
};
