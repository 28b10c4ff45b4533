import { findAdapterKey, type ModelDemand, prefillTokensPerMs } from "@radishreel/fleet";
import { readPriority } from "@radishreel/routing";
import type { AdmissionDetails } from "./admissions.js";
import type { Job } from "./job.js";
import { createRequestSize } from "./requestsize.js";
import { formatReturnKey } from "./returns.js";
import { readLastSendAt } from "./timelimit.js";

/** Time that an engine takes to generate one token while it also reads prompts of other requests, in milliseconds. */
const decodeMsPerToken = 10;

/** Priority of a request, by its client account or its route. */
export function readJobPriority(job: Job): number {
    return readPriority(job.route.priority, job.account?.priority);
}

/**
 * Creates what the owner of an engine must know about a request.
 * @param hasReturns Whether owners tell declined requests when to return.
 */
export function createDetails(job: Job, model: ModelDemand, now: number, hasReturns = false): AdmissionDetails {
    const readMs = model.promptTokens / prefillTokensPerMs;
    return {
        model: model.model,
        key: findAdapterKey(model),
        ...createRequestSize(model),
        runMs: readMs + model.outputTokens * decodeMsPerToken,
        onTimeMs: job.startedAt + job.route.aimMs - now - readMs,
        patienceMs: Math.max(0, readLastSendAt(job) - now),
        endMs: Math.max(0, job.deadlineAt - now),
        priority: readJobPriority(job),
        account: job.account?.name,
        targetMs: job.route.aimMs,
        returnKey: hasReturns ? formatReturnKey(job) : undefined,
    };
}
