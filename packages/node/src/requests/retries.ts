import type { RetryBudget, RetryClaim } from "@radishreel/fleet";
import { isIdempotent } from "@radishreel/routing";
import type { DecisionLog } from "../decisions.js";
import type { AttemptEnd } from "./attemptend.js";
import type { Job } from "./job.js";
import { minAttemptMs } from "./timelimit.js";

/** Maximum rejections of one request by upstreams before it is refused. Rejected requests did not run. */
const maxRejections = 6;

/**
 * Share of a VM's part of a budget that is left to requests whose attempts have failed. All requests at an upstream ask
 * for a retry at the same time when it falls silent.
 */
const optionalReserveShare = 0.5;

/** Options of {@link Retries}. */
export interface RetriesOptions {
    readonly budgets: (service: string) => RetryBudget;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Called when a request claims a retry from the budget of its service. */
    readonly onRetryClaim: (service: string, isGranted: boolean) => void;
}

/** Decides which requests may be sent again, and claims their retries from the shared budget of their service. */
export class Retries {
    constructor(private readonly options: RetriesOptions) {}

    /** Whether another attempt is allowed and can still succeed in time. */
    mayRetry(job: Job, end: AttemptEnd): boolean {
        if (end.kind === "invalid" || job.deadlineAt - this.options.readTime() < minAttemptMs) {
            return false;
        }
        if (end.kind === "notRun") {
            return job.rejections < maxRejections;
        }
        return isIdempotent(job.route) && job.runs < job.route.maxAttempts;
    }

    /** Claims a retry from the budget of the request's service; undefined if the budget does not allow it. */
    claim(job: Job): RetryClaim | undefined {
        return this.claimFrom(job, 0);
    }

    /** Whether the budget currently allows a retry of a request that has not failed. */
    mayClaimOptional(job: Job): boolean {
        const { budgets, readTime } = this.options;
        return budgets(job.service.name).mayClaim(readTime(), optionalReserveShare);
    }

    /** Claims a retry of a request that has not failed, which leaves part of the budget to requests that have. */
    claimOptional(job: Job): RetryClaim | undefined {
        return this.claimFrom(job, optionalReserveShare);
    }

    private claimFrom(job: Job, reserveShare: number): RetryClaim | undefined {
        const { budgets, readTime, log, onRetryClaim } = this.options;
        const service = job.service.name;
        const budget = budgets(service);
        const claim = budget.claimRetry(readTime(), reserveShare);
        const isGranted = claim !== undefined;
        onRetryClaim(service, isGranted);
        log.record("retryClaimed", {
            request: job.demand.requestId,
            service,
            isGranted,
            ...budget.explain(readTime()),
        });
        return claim;
    }
}
