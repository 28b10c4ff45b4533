import { prefillTokensPerMs } from "@radishreel/fleet";
import type { Route } from "@radishreel/routing";
import type { CallerDemand } from "../ports.js";
import type { StreamProgress } from "./attempt.js";

/** Time that a request must have left to be worth another attempt, in milliseconds. */
export const minAttemptMs = 60;

/**
 * How long callers wait for the next event of a stream, its first one included, before they leave, by the users' pages:
 * the longest of 2 s, four times the route's aim and eight times its longest pause.
 */
const minPatienceMs = 2000;
const aimsOfPatience = 4;
const pausesOfPatience = 8;

/**
 * How long before that a request without an upstream is refused, in milliseconds: its answer must reach the caller, who
 * can then ask again instead of leaving.
 */
const refuseAheadMs = 150;

/** What decides how long a request may wait for an upstream. */
export interface WaitingRequest {
    readonly route: Route;
    readonly demand: CallerDemand;
    readonly startedAt: number;
    readonly deadlineAt: number;
    readonly progress: StreamProgress;
}

/**
 * When a request must have been sent at the latest for its caller to be there still when the answer begins. One that is
 * held longer only keeps its caller from asking elsewhere: under heavy load callers left streams after 4 s, of which the
 * requests still had up to 11 s.
 */
export function readLastSendAt(request: WaitingRequest): number {
    const { route, demand, startedAt, deadlineAt, progress } = request;
    const lastAttemptAt = deadlineAt - minAttemptMs;
    if (route.kind !== "stream") {
        return lastAttemptAt;
    }
    const patienceMs = Math.max(
        minPatienceMs,
        route.aimMs * aimsOfPatience,
        (route.gapAimMs ?? 0) * pausesOfPatience,
    );
    const readMs = (demand.model?.promptTokens ?? 0) / prefillTokensPerMs;
    const heardAt = progress.events === 0 ? startedAt : progress.lastEventAt;
    return Math.min(lastAttemptAt, heardAt + patienceMs - readMs - refuseAheadMs);
}
