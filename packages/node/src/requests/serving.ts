import {
    findAdapterKey,
    type FleetView,
    hasLongAnswer,
    KeptParts,
    type LoadHandle,
    PauseThreshold,
    type RetryBudget,
    type UpstreamChoice,
    type UpstreamState,
} from "@radishreel/fleet";
import { chooseTarget, isIdempotent, readPriority } from "@radishreel/routing";
import type { AccountGuard, QuotaClaim } from "../accounts/index.js";
import type { CrashGuard } from "../crashes/index.js";
import type { DecisionLog } from "../decisions.js";
import type { ClusterState } from "../knowledge/cluster.js";
import type { CallerDemand, CallerIdentity, RequestDialect } from "../ports.js";
import type { Admissions } from "./admissions.js";
import { Attempt, type AttemptEnd, createBodyHeaders } from "./attempt.js";
import type { CallerExchange, OwnAnswer, RefusalReason } from "./caller.js";
import { UpstreamChooser } from "./choosing.js";
import type { ConnectionPool } from "./connections.js";
import { RequestDigest } from "./digest.js";
import { withheldDetail } from "./exchange.js";
import { createJob, type Job, type Preparation, type ReadyUpstream } from "./job.js";
import { minAttemptMs, readLastSendAt } from "./patience.js";
import { noWords, type UpstreamWords } from "./words.js";

/** Upstreams that may turn one request away before it is refused: each has said that it did not run it. */
const maxRejections = 6;

/** How soon a refused caller may come back, in seconds: an owner or an upstream is replaced within some seconds. */
const retryAfterSeconds = 0.5;

/**
 * Longest time for which requests wait for a process that has just started to read routes and upstreams, in milliseconds. It
 * takes some 100 ms, less than the time after which refused callers would come back.
 */
const usualStartWaitMs = 300;

/**
 * Shortest and longest time after which a caller is told to come back to engines that are full, in seconds. Half of the
 * time that its request would wait now has then passed, so that it would wait no longer than callers do.
 */
const minFullRetrySeconds = 0.25;
const maxFullRetrySeconds = 2;

/**
 * Longest time after which a caller is told to come back where all upstreams rest, in seconds: another VM may reach them, and
 * they are replaced or joined by others meanwhile.
 */
const maxRestRetrySeconds = 30;

/**
 * Cost added to an upstream that answered this request with a failure, in milliseconds. Failures often belong to one run:
 * an engine that holds the adapter is worth another try before a load of 250 ms elsewhere.
 */
const failedCostMs = 150;

/** How long an upstream that turned a request away is not asked again for it, in milliseconds: its owner's word arrives. */
const rejectedPauseMs = 60;

/**
 * How long an upstream may take for its first byte before an idempotent request goes elsewhere: a factor of the expected
 * time, and at least so many milliseconds. Engines under heavy load often take 0.9 s, and what they have read of a prompt
 * is lost with the attempt; servers answer in 0.1 s.
 */
const firstByteFactor = 4;
const minFirstByteMs = 700;
const minFirstEventMs = 1500;

/** Part of the time left after which going elsewhere cannot help any more. */
const lastTryShare = 0.6;

/** Pause after which a stream that may be resumed goes elsewhere, as a factor of the pause that is still on time. */
const pauseFactor = 1.5;

/** Options of {@link Serving}. */
export interface ServingOptions {
    readonly dataCentre: string;
    readonly view: FleetView;
    readonly cluster: ClusterState;
    readonly budgets: (service: string) => RetryBudget;
    readonly countVms: () => number;
    readonly dialect: RequestDialect;
    readonly pool: ConnectionPool;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Time that goes on while the VM is suspended, in milliseconds. @default readTime */
    readonly readBoot?: (() => number) | undefined;
    readonly admissions: Admissions;
    readonly guard: CrashGuard;
    readonly accounts: AccountGuard;
    /** Whether messages reach a VM. */
    readonly isLinked: (vm: string) => boolean;
    readonly sendPreparation: (preparation: Preparation) => void;
    readonly sendMissing: (engine: string, key: string) => void;
    /** An answer of an upstream says that it leaves. */
    readonly onLeaving: (upstream: string) => void;
    /** An upstream wants nothing from this VM for some time. */
    readonly onRest: () => void;
    readonly onRefusal: (reason: RefusalReason) => void;
    readonly onRetry: (reason: string) => void;
    /** All upstreams of a service were compared for one request. */
    readonly onChoice: () => void;
    /** A request chooses anew, since its engine is busier than this VM knew. */
    readonly onRedirect: () => void;
    /** Longest wait for a process that has just started, in milliseconds. @default 300 */
    readonly startWaitMs?: number | undefined;
}

/** Serves callers' requests: finds the route, chooses upstreams, and repeats what may be repeated. */
export class Serving {
    private readonly kept = new KeptParts();
    private readonly longPrompts = new PauseThreshold();
    private readonly open = new Set<CallerExchange>();
    private readonly attempts = new Set<Attempt>();
    private readonly chooser: UpstreamChooser;
    private readonly readBoot: () => number;

    constructor(private readonly options: ServingOptions) {
        this.readBoot = options.readBoot ?? options.readTime;
        this.chooser = new UpstreamChooser({
            ...options,
            kept: this.kept,
            longPrompts: this.longPrompts,
            mayRun: job => this.mayRun(job),
        });
    }

    /** Requests that have no whole answer yet. */
    get openCount(): number {
        return this.open.size;
    }

    /** Lets no connection that carries a request now carry another one after it. */
    closeAfterAnswers(): void {
        for (const caller of this.open) {
            caller.closeAfterAnswer();
        }
    }

    /** Lets requests that wait for an upstream look again. */
    receiveChange(): void {
        this.chooser.receiveChange();
    }

    /** A version of an adapter was named: what is under way with one that it replaces must begin in time. */
    receiveVersion(): void {
        this.attempts.forEach(attempt => attempt.updateBeginTime());
    }

    /** Engines of other VMs have changed: requests that wait look again soon. */
    receiveNews(): void {
        this.chooser.receiveNews();
    }

    removeUpstream(id: string): void {
        this.kept.removeEngine(id);
        this.options.admissions.removeEngine(id);
        this.options.pool.removeUpstream(id);
    }

    async handle(caller: CallerExchange): Promise<void> {
        this.open.add(caller);
        try {
            await this.serve(caller);
        }
        finally {
            this.open.delete(caller);
        }
    }

    private async serve(caller: CallerExchange): Promise<void> {
        const { cluster, dialect } = this.options;
        const startedAt = this.options.readTime();
        const demand = dialect.parseDemand(caller.headers);
        await this.waitForStart(startedAt);
        const table = cluster.routes;
        if (table === undefined) {
            this.refuse(caller, demand, { status: 503, reason: "noConfiguration", retryAfterSeconds });
            return;
        }
        const route = table.findRoute(caller.host, caller.path);
        if (route === undefined) {
            this.refuse(caller, demand, { status: 404, reason: "unknownRoute" });
            return;
        }
        const service = table.findService(chooseTarget(route, Math.random()));
        if (service === undefined) {
            this.refuse(caller, demand, { status: 503, reason: "unknownService", retryAfterSeconds });
            return;
        }
        const known = await this.options.accounts.resolveAccount(route, demand);
        if (known.isErr()) {
            this.refuse(caller, demand, known.error);
            return;
        }
        const account = known.value;
        const claim = this.options.accounts.createClaim(account, demand);
        const body = await this.readClaimed(caller, demand, claim, table.routing.limits.maxBodyBytes);
        if (body === undefined) {
            return;
        }
        this.options.budgets(service.name).recordRequest(startedAt);
        const timeMs = Math.min(demand.budgetMs ?? Infinity, route.timeoutMs);
        await this.runReleasing(createJob({
            caller,
            demand,
            route,
            service,
            body: body.length === 0 ? undefined : body,
            digest: new RequestDigest({
                method: caller.method,
                host: caller.host,
                path: caller.path,
                account: account?.name ?? (demand.key?.kind === "key" ? demand.key.key : undefined),
                body,
            }),
            account,
            claim,
            startedAt,
            deadlineAt: startedAt + timeMs,
        }));
    }

    /** Reads the body while the request's cost is claimed; undefined if the caller has left or been refused. */
    private async readClaimed(
        caller: CallerExchange,
        demand: CallerDemand,
        claim: QuotaClaim | undefined,
        maxBytes: number,
    ): Promise<Buffer | undefined> {
        const { accounts } = this.options;
        const [body, refusal] = await Promise.all([caller.readBody(maxBytes), accounts.claimQuota(claim)]);
        if (refusal === undefined && (body === undefined || caller.hasLeft)) {
            accounts.releaseQuota(claim);
        }
        if (caller.hasLeft) {
            return undefined;
        }
        if (body === undefined) {
            this.refuse(caller, demand, { status: 413, reason: "bodyTooLarge" });
            return undefined;
        }
        if (refusal !== undefined) {
            this.refuse(caller, demand, refusal);
            return undefined;
        }
        return body;
    }

    /** Holds the first requests of a process until it has read what it needs. */
    private async waitForStart(since: number): Promise<void> {
        const { cluster, readTime, startWaitMs = usualStartWaitMs } = this.options;
        while (!cluster.isComplete && readTime() - since < startWaitMs) {
            await this.chooser.waitForChange(startWaitMs);
        }
    }

    /** Runs a request, and gives up what it was granted: its permit if it came under suspicion, its cost if it has not run. */
    private async runReleasing(job: Job): Promise<void> {
        try {
            await this.runJob(job);
        }
        finally {
            this.options.guard.endPermit(job);
            if (!job.hasRun) {
                this.options.accounts.releaseQuota(job.claim);
            }
        }
    }

    private async runJob(job: Job): Promise<void> {
        const { guard } = this.options;
        let last: AttemptEnd | undefined;
        for (;;) {
            await guard.waitForPermit(job);
            const ready = await this.chooser.chooseReady(job);
            if (ready === undefined && guard.mayWaitForPermit(job)) {
                // An upstream has ended under another copy of it while this one waited.
                continue;
            }
            if (job.caller.hasLeft || ready === undefined) {
                ready?.admission?.end();
                this.finishWithout(job, last);
                return;
            }
            const { choice } = ready;
            const isRepeat = job.attempts > 0 && !(last?.kind === "notRun" && !last.wasSent);
            if (isRepeat && !this.claimRepeat(job)) {
                ready.admission?.end();
                this.finishWithout(job, last, "retryBudgetSpent");
                return;
            }
            last = await this.runAttempt(job, ready);
            job.hasRun ||= last.kind !== "notRun";
            guard.endPermit(job);
            if (last.kind === "complete" || last.kind === "callerLeft") {
                this.recordEnd(job, last.kind, choice);
                return;
            }
            if (!this.mayRepeat(job, last)) {
                this.finishWithout(job, last);
                return;
            }
            this.options.onRetry(last.kind);
            this.options.log.recordImportant("retry", {
                request: job.demand.requestId,
                upstream: choice.state.upstream.id,
                why: last.kind,
                detail: last.kind === "failed" ? last.status : last.detail,
                events: job.progress.events,
            });
        }
    }

    /** Whether what is known by now of a request lets it run. */
    private mayRun(job: Job): boolean {
        const { guard, accounts } = this.options;
        return !guard.isRefused(job) && !guard.isHeld(job) && accounts.findRefusal(job) === undefined;
    }

    private claimRepeat(job: Job): boolean {
        const { budgets, readTime, countVms } = this.options;
        return budgets(job.service.name).claimRepeat(readTime(), countVms());
    }

    /** Whether another attempt is allowed and may still help. */
    private mayRepeat(job: Job, end: AttemptEnd): boolean {
        if (job.deadlineAt - this.options.readTime() < minAttemptMs) {
            return false;
        }
        if (end.kind === "notRun") {
            return job.rejections < maxRejections;
        }
        return isIdempotent(job.route) && job.runs < job.route.maxAttempts;
    }

    private async runAttempt(job: Job, { choice, admission }: ReadyUpstream): Promise<AttemptEnd> {
        const { readTime, log } = this.options;
        const sentAt = readTime();
        const { upstream, health, leavingSince } = choice.state;
        const load = this.addLoad(job, choice);
        const identity = this.options.accounts.findIdentity(job);
        let writtenAt: number | undefined;
        let begunAt: number | undefined;
        const key = findAdapterKey(job.demand.model);
        const replacedMs = this.readReplacedMs(key, choice);
        let words: UpstreamWords = noWords;
        job.attempts += 1;
        const attempt = new Attempt({
            ...this.createAttemptTimes(job, choice, sentAt),
            readBeginMs: () => this.readBeginMs(key, choice),
            caller: job.caller,
            requestId: job.demand.requestId,
            route: job.route,
            body: job.body,
            dialect: this.options.dialect,
            pool: this.options.pool,
            upstreamId: upstream.id,
            address: upstream.address,
            send: {
                upstreamName: upstream.name,
                budgetMs: Math.max(1, Math.floor(job.deadlineAt - sentAt)),
                version: choice.version,
                lastEventId: job.progress.lastEventId,
                priority: this.readPriority(job),
                identity,
            },
            isFresh: !isIdempotent(job.route),
            progress: job.progress,
            readTime,
            // What the choice was made by may be news by the time that the connection is open.
            checkBeforeSend: () => {
                writtenAt = this.maySend(job, choice, identity) ? readTime() : undefined;
                return writtenAt !== undefined;
            },
            onWords: said => {
                words = said;
                this.receiveWords(upstream.id, said);
            },
            onBegin: () => {
                begunAt = readTime();
                load.begin();
                admission?.begin();
                health.recordPace((readTime() - sentAt) / Math.max(30, choice.costMs));
            },
        });
        this.attempts.add(attempt);
        const end = await attempt.end;
        this.attempts.delete(attempt);
        load.end();
        admission?.end();
        this.recordAttempt(job, choice, end, sentAt, words);
        log.record("attempt", {
            request: job.demand.requestId,
            upstream: upstream.id,
            adapter: job.demand.model?.adapter,
            version: choice.version,
            costMs: Math.round(choice.costMs),
            prefill: choice.prefillTokens,
            replacedMs,
            waitedMs: Math.round(job.waitedMs),
            writtenMs: formatElapsed(sentAt, writtenAt),
            begunMs: formatElapsed(sentAt, begunAt),
            ms: Math.round(readTime() - sentAt),
            end: end.kind,
            detail: "detail" in end ? end.detail : undefined,
            status: "status" in end ? end.status : undefined,
            leavingMs: formatElapsed(leavingSince, sentAt),
            saysLeaving: words.isLeaving || undefined,
            asksRestMs: words.askedRestMs,
        });
        await this.options.guard.recordEnd(job, upstream, end, { sentAt, begunAt });
        return end;
    }

    /** Whether all that a choice was made by still holds in the step that writes the request. */
    private maySend(job: Job, choice: UpstreamChoice, identity: CallerIdentity | undefined): boolean {
        const { view, accounts, readTime } = this.options;
        const { id } = choice.state.upstream;
        const now = readTime();
        return !job.caller.hasLeft && now < job.deadlineAt
            && view.isUsable(id) && !view.rests.isResting(id, now)
            && this.mayRun(job) && accounts.hasIdentity(job, identity)
            && this.mayUseVersion(findAdapterKey(job.demand.model), choice);
    }

    /** Whether the version of a choice may still be sent a request. */
    private mayUseVersion(key: string | undefined, { version }: UpstreamChoice): boolean {
        return key === undefined || this.options.view.versions.mayUse(key, version ?? 0, this.readBoot());
    }

    /** How long a request for the version of a choice may wait to begin, in milliseconds; infinite for the newest. */
    private readBeginMs(key: string | undefined, { version }: UpstreamChoice): number {
        const { versions } = this.options.view;
        return key === undefined ? Infinity : versions.readUseEnd(key, version ?? 0) - this.readBoot();
    }

    /** How long the version of a choice has been replaced; undefined if it is the newest, or if that is not known. */
    private readReplacedMs(key: string | undefined, { version }: UpstreamChoice): number | undefined {
        const { versions } = this.options.view;
        const replacedAt = key === undefined ? undefined : versions.findReplacedAt(key, version ?? 0);
        return formatElapsed(replacedAt === -Infinity ? undefined : replacedAt, this.readBoot());
    }

    /** Takes what an upstream says of itself as soon as it says so. */
    private receiveWords(upstream: string, words: UpstreamWords): void {
        const { view, readTime, onLeaving, onRest } = this.options;
        if (words.askedRestMs !== undefined) {
            view.rests.record(upstream, words.askedRestMs, readTime());
            onRest();
        }
        if (words.isLeaving) {
            onLeaving(upstream);
        }
    }

    /** Urgency of a request at an engine; servers know none. */
    private readPriority({ service, route, account }: Job): number | undefined {
        return service.engine === undefined ? undefined : readPriority(route.priority, account?.priority);
    }

    private createAttemptTimes(
        job: Job,
        choice: UpstreamChoice,
        now: number,
    ): { firstByteMs: number; pauseMs: number; timeLeftMs: number; } {
        const timeLeftMs = job.deadlineAt - now;
        const canRepeat = isIdempotent(job.route) && job.runs + 1 < job.route.maxAttempts;
        if (!canRepeat) {
            return { firstByteMs: timeLeftMs + 1000, pauseMs: timeLeftMs + 1000, timeLeftMs };
        }
        const expectedMs = choice.costMs * firstByteFactor;
        const gapMs = (job.route.gapAimMs ?? job.route.aimMs) * pauseFactor;
        const minMs = job.service.engine === undefined ? minFirstByteMs : minFirstEventMs;
        const firstByteMs = Math.max(minMs, expectedMs);
        // An attempt that is cut too late for another one only loses what was done.
        const isWorthCutting = firstByteMs < timeLeftMs * lastTryShare;
        return { firstByteMs: isWorthCutting ? firstByteMs : timeLeftMs + 1000, pauseMs: gapMs, timeLeftMs };
    }

    private addLoad(job: Job, choice: UpstreamChoice): LoadHandle {
        const { model } = job.demand;
        return this.options.view.addOwnLoad({
            upstream: choice.state.upstream.id,
            backlogTokens: choice.prefillTokens,
            kvTokens: (model?.promptTokens ?? 0) + (model?.outputTokens ?? 0),
            hasLongAnswer: hasLongAnswer(model),
        }, this.options.readTime());
    }

    /** Learns from the end of an attempt. */
    private recordAttempt(
        job: Job,
        choice: UpstreamChoice,
        end: AttemptEnd,
        sentAt: number,
        { askedRestMs }: UpstreamWords,
    ): void {
        const { readTime, sendMissing } = this.options;
        const now = readTime();
        const { upstream, health } = choice.state;
        const { model } = job.demand;
        const key = findAdapterKey(model);
        switch (end.kind) {
            case "complete":
                health.recordAnswer(now, this.readAnswerPace(job, now - sentAt));
                if (model !== undefined) {
                    this.kept.record(upstream.id, model, now);
                    this.recordPauses(job, choice.state, sentAt);
                }
                return;
            case "failed":
                job.runs += 1;
                job.tried.set(upstream.id, { costMs: failedCostMs, until: Infinity, hasDeclined: false });
                if (askedRestMs === undefined) {
                    health.recordFailure(now);
                }
                return;
            case "broken":
                job.runs += 1;
                job.tried.set(upstream.id, { costMs: Infinity, until: Infinity, hasDeclined: false });
                if (end.reason !== "versionReplaced") {
                    health.recordFailure(now);
                }
                return;
            case "notRun":
                job.rejections += 1;
                if (!end.wasSent) {
                    if (end.detail !== "connection closed" && end.detail !== withheldDetail) {
                        health.recordUnreachable(now);
                    }
                    return;
                }
                // One that asks for rest has failed in nothing, and lacks nothing that its owner could load.
                if (key !== undefined && askedRestMs === undefined) {
                    sendMissing(upstream.id, key);
                }
                job.tried.set(upstream.id, { costMs: Infinity, until: now + rejectedPauseMs, hasDeclined: false });
                return;
            case "callerLeft":
                return;
        }
    }

    /** Learns from a long answer whether a prompt beside it held it up. */
    private recordPauses(job: Job, state: UpstreamState, sentAt: number): void {
        const { gapAimMs } = job.route;
        if (gapAimMs !== undefined && job.attempts === 1 && hasLongAnswer(job.demand.model)) {
            this.longPrompts.record(state.prompts.findLargest(sentAt), job.progress.longestPauseMs > gapAimMs);
        }
    }

    /** Streams tell their pace by their first event; plain answers by their whole time. */
    private readAnswerPace(job: Job, ms: number): number {
        return job.service.engine === undefined ? ms / Math.max(30, job.route.aimMs / 4) : 1;
    }

    /** Ends a request that no upstream has answered well: the last failure decides what the caller is told. */
    private finishWithout(job: Job, last: AttemptEnd | undefined, reason?: RefusalReason): void {
        if (job.caller.hasLeft) {
            return;
        }
        if (last?.kind === "failed") {
            const headers = this.options.dialect.listAnswerHeaders(last.headers);
            if (job.caller.hasHead) {
                job.caller.cancelAnswer();
                return;
            }
            job.caller.startAnswer(last.status, createBodyHeaders(headers, last.body));
            job.caller.endAnswer(last.body);
            return;
        }
        this.refuse(job.caller, job.demand, this.createRefusal(job, last, reason));
    }

    private createRefusal(job: Job, last: AttemptEnd | undefined, reason?: RefusalReason): OwnAnswer {
        const refusal = this.options.guard.findRefusal(job) ?? this.options.accounts.findRefusal(job);
        if (refusal !== undefined) {
            return refusal;
        }
        if (last?.kind === "broken") {
            return { status: last.reason === "timeout" ? 504 : 502, reason: last.reason };
        }
        if (job.runs > 0) {
            return { status: 502, reason: reason ?? "attemptsSpent" };
        }
        const now = this.options.readTime();
        if (reason === undefined && job.expectedAt !== undefined) {
            const halfSeconds = (job.expectedAt - now) / 2 / 1000;
            const bounded = Math.min(Math.max(halfSeconds, minFullRetrySeconds), maxFullRetrySeconds);
            return { status: 503, reason: "enginesFull", retryAfterSeconds: bounded };
        }
        const restEndAt = this.findRestEnd(job, now);
        if (reason === undefined && restEndAt !== undefined) {
            const restSeconds = Math.ceil((restEndAt - now) / 10) / 100;
            const bounded = Math.min(restSeconds, maxRestRetrySeconds);
            return { status: 503, reason: "upstreamsRest", retryAfterSeconds: bounded };
        }
        const isLate = now > readLastSendAt(job);
        const fallback = isLate ? "timeout" : last === undefined ? "noUpstream" : "upstreamsBusy";
        return { status: 503, reason: reason ?? fallback, retryAfterSeconds };
    }

    /** When the first upstream will have rested that could serve a request; undefined if another one could serve it now. */
    private findRestEnd(job: Job, now: number): number | undefined {
        const hasAwake = this.options.view.listAwake(job.service.name, now).length > 0;
        return hasAwake ? undefined : this.chooser.findRestEnd(job, now);
    }

    private refuse(caller: CallerExchange, demand: CallerDemand, answer: OwnAnswer): void {
        this.options.onRefusal(answer.reason);
        this.options.log.recordImportant("refused", {
            request: demand.requestId,
            status: answer.status,
            reason: answer.reason,
            ...answer.detail,
            path: caller.path,
            routing: this.options.cluster.routes?.routing.version,
        });
        caller.refuse(answer);
    }

    private recordEnd(job: Job, kind: string, choice: UpstreamChoice): void {
        const { firstEventAt } = job.progress;
        this.options.log.record("served", {
            request: job.demand.requestId,
            route: job.route.name,
            account: job.account?.name,
            cost: job.claim?.cost,
            upstream: choice.state.upstream.id,
            end: kind,
            ms: Math.round(this.options.readTime() - job.startedAt),
            attempts: job.attempts,
            events: job.progress.events,
            firstEventMs: firstEventAt === undefined ? undefined : Math.round(firstEventAt - job.startedAt),
            longestPauseMs: Math.round(job.progress.longestPauseMs),
            outputTokens: job.demand.model?.outputTokens,
            longPromptTokens: Math.round(this.longPrompts.tokens),
        });
    }
}

/** Time between two moments as a line of the log tells it; undefined if one of them has not come. */
function formatElapsed(from: number | undefined, to: number | undefined): number | undefined {
    return from === undefined || to === undefined ? undefined : Math.round(to - from);
}
