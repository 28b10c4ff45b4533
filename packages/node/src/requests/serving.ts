import {
    findAdapterKey,
    type FleetView,
    hasLongAnswer,
    type LoadHandle,
    PauseThreshold,
    PrefixCache,
    type ResponseActivity,
    type RetryClaim,
    type Upstream,
    type UpstreamChoice,
} from "@radishreel/fleet";
import { chooseTarget, isIdempotent, readPriority, type Route } from "@radishreel/routing";
import type { AccountClaim, AccountGuard } from "../accounts/index.js";
import type { CrashGuard } from "../crashes/index.js";
import type { DecisionLog } from "../decisions.js";
import type { ClusterState } from "../knowledge/cluster.js";
import type { CallerDemand, CallerIdentity, RequestDialect } from "../ports.js";
import type { StreamResolution, Streams } from "../streams/index.js";
import type { Admissions } from "./admissions.js";
import { Attempt } from "./attempt.js";
import type { AttemptEnd } from "./attemptend.js";
import {
    type AttemptRecord,
    createAttemptRecord,
    formatAttempt,
    formatElapsed,
    formatLeft,
    formatServed,
    type LeftRequest,
} from "./attemptline.js";
import type { CallerExchange } from "./caller.js";
import { UpstreamChooser } from "./chooser.js";
import type { ConnectionPool } from "./connectionpool.js";
import { RequestDigest } from "./digest.js";
import {
    cancelReturn,
    createJob,
    type Job,
    mayRunAgain,
    type Preparation,
    type ReadyUpstream,
    releaseReady,
} from "./job.js";
import type { LimitGrant, UpstreamLimiter } from "./limiter.js";
import type { ResponseMetadata } from "./metadata.js";
import { CallerPresence } from "./presence.js";
import type { RefusalReason, RefusalResponse } from "./refusal.js";
import { bodyTooLargeRefusal, retryAfterSeconds } from "./refusals.js";
import { createBodyHeaders } from "./responseheaders.js";
import { AttemptResults } from "./results.js";
import { Retries, type RetriesOptions } from "./retries.js";
import { type FinishedAttempt, type RunningAttempt, type SilenceOutcome, Successors } from "./successors.js";
import { readSilenceLimits, type SilenceLimits } from "./timelimit.js";
import { UnservedRefusals } from "./unserved.js";

/**
 * Maximum wait of requests until a newly started process has read routes and upstreams, in milliseconds. Reading takes
 * about 100 ms, less than the time after which refused callers would retry.
 */
const defaultStartWaitMs = 300;

/**
 * How long the origin of a stream is kept, in milliseconds: as long as its caller waits, within a bound, or this long if
 * the caller names no time.
 */
const defaultStreamLifeMs = 60_000;
const maxStreamLifeMs = 600_000;

/** Options of {@link Serving}. */
export interface ServingOptions extends RetriesOptions {
    readonly dataCentre: string;
    readonly view: FleetView;
    readonly cluster: ClusterState;
    readonly dialect: RequestDialect;
    readonly pool: ConnectionPool;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Clock that keeps running while the VM is suspended, in milliseconds. @default readTime */
    readonly readBoot?: (() => number) | undefined;
    readonly admissions: Admissions;
    readonly guard: CrashGuard;
    readonly accounts: AccountGuard;
    /** Where streams began; undefined if streams may go on at any upstream. */
    readonly streams?: Pick<Streams, "directory" | "resolver" | "claims"> | undefined;
    /** Whether there is a link to a VM. */
    readonly isLinked: (vm: string) => boolean;
    readonly sendPreparation: (preparation: Preparation) => void;
    readonly sendMissing: (engine: string, key: string) => void;
    readonly limiter: UpstreamLimiter;
    /**
     * Called with what a response says about its upstream.
     * @param statementsAtWrite Number of statements about the upstream's limit when the request was written.
     */
    readonly onMetadata: (upstream: string, metadata: ResponseMetadata, statementsAtWrite: number) => void;
    /** @param isCut Whether the response had begun, so that only the end of its connection tells the caller. */
    readonly onRefusal: (reason: RefusalReason, isCut: boolean) => void;
    readonly onRetry: (reason: string) => void;
    /** Called at the end of each silence of an upstream that was too long. */
    readonly onSilence: (outcome: SilenceOutcome) => void;
    /** Called when all upstreams of a service are compared for one request. */
    readonly onChoice: () => void;
    /** Called when a request chooses again because its engine is busier than this VM knew. */
    readonly onRedirect: () => void;
    /** Returns how late the timers of this process are, in milliseconds. @default 0 */
    readonly readLag?: (() => number) | undefined;
    /** Maximum wait of requests for a process that has just started, in milliseconds. @default 300 */
    readonly startWaitMs?: number | undefined;
}

/** A request whose body is read. */
interface BodyReadOptions {
    readonly caller: CallerExchange;
    readonly demand: CallerDemand;
    readonly claim: AccountClaim | undefined;
    readonly maxBodyBytes: number;
    readonly startedAt: number;
    /** End of the request's time, in milliseconds. */
    readonly deadlineAt: number;
}

/** An attempt that has started, and what it holds until its end. */
interface StartedAttempt {
    readonly job: Job;
    readonly ready: ReadyUpstream;
    readonly retry: RetryClaim | undefined;
    readonly load: LoadHandle;
    readonly response: ResponseActivity;
    readonly attempt: Attempt;
    readonly record: AttemptRecord;
}

/** Serves callers' requests: finds the route, chooses upstreams, and retries requests where that is allowed. */
export class Serving {
    private readonly prefixCache = new PrefixCache();
    private readonly longPromptThreshold = new PauseThreshold();
    private readonly openExchanges = new Set<CallerExchange>();
    private readonly attempts = new Map<Attempt, Job>();
    private readonly chooser: UpstreamChooser;
    private readonly retries: Retries;
    private readonly successors: Successors;
    private readonly results: AttemptResults;
    private readonly refusals: UnservedRefusals;
    private readonly presence: CallerPresence;
    private readonly readBoot: () => number;
    private readonly readLag: () => number;

    constructor(private readonly options: ServingOptions) {
        this.readBoot = options.readBoot ?? options.readTime;
        this.presence = new CallerPresence({ readBoot: this.readBoot });
        this.readLag = options.readLag ?? (() => 0);
        this.retries = new Retries(options);
        this.results = new AttemptResults({
            ...options,
            prefixCache: this.prefixCache,
            longPromptThreshold: this.longPromptThreshold,
        });
        this.chooser = new UpstreamChooser({
            ...options,
            versions: options.streams?.claims,
            prefixCache: this.prefixCache,
            longPromptThreshold: this.longPromptThreshold,
            mayRun: job => this.mayRun(job),
        });
        this.refusals = new UnservedRefusals({ ...options, chooser: this.chooser });
        this.successors = new Successors({
            ...options,
            chooser: this.chooser,
            retries: this.retries,
            startAttempt: (job, ready, retry, takeOver) => this.startAttempt(job, ready, retry, takeOver),
            onReplaced: (job, replaced) => this.recordRetry(job, replaced),
        });
    }

    /** Number of requests without a complete response. */
    get openCount(): number {
        return this.openExchanges.size;
    }

    /** Makes the responses to open requests say that their connections close, where that can still be said. */
    closeAfterResponses(): void {
        for (const caller of this.openExchanges) {
            caller.closeAfterResponse();
        }
    }

    /** Makes requests that wait for an upstream choose again. */
    receiveChange(): void {
        this.chooser.receiveChange();
    }

    /** Makes waiting requests check whether they are quarantined, and cancels those that no upstream has begun. */
    receiveVerdicts(): void {
        this.attempts.forEach((job, attempt) => {
            if (this.options.guard.findPartRefusal(job.demand.model) !== undefined) {
                attempt.cancelQuarantined();
            }
        });
        this.receiveChange();
    }

    /** Updates the start limits of running attempts, since a newly announced adapter version may replace theirs. */
    receiveVersion(): void {
        this.attempts.forEach((_job, attempt) => attempt.updateStartLimit());
    }

    /** Makes waiting requests choose again soon after the status of engines has changed. */
    receiveEngineStatus(): void {
        this.chooser.receiveEngineStatus();
    }

    removeUpstream(id: string): void {
        this.prefixCache.removeEngine(id);
        this.options.admissions.removeEngine(id);
        this.options.pool.removeUpstream(id);
    }

    async handle(caller: CallerExchange): Promise<void> {
        this.openExchanges.add(caller);
        await this.serve(caller).finally(() => this.openExchanges.delete(caller));
    }

    private async serve(caller: CallerExchange): Promise<void> {
        const { cluster, dialect } = this.options;
        const startedAt = this.options.readTime() - caller.waitedMs;
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
        const quarantined = this.options.guard.findPartRefusal(demand.model);
        if (quarantined !== undefined) {
            this.refuse(caller, demand, quarantined);
            return;
        }
        const resolution = await this.resolveStream(route, demand);
        if (resolution?.kind === "refused") {
            this.refuse(caller, demand, resolution.refusal);
            return;
        }
        const origin = resolution?.origin;
        const service = table.findService(origin?.service ?? chooseTarget(route, Math.random()));
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
        const { maxBodyBytes } = table.routing.limits;
        const deadlineAt = startedAt + Math.min(demand.budgetMs ?? Infinity, route.timeoutMs);
        const body = await this.readBodyAndClaimQuota({
            caller,
            demand,
            claim,
            maxBodyBytes,
            startedAt,
            deadlineAt,
        });
        if (body === undefined) {
            return;
        }
        await this.presence.check(caller);
        this.options.budgets(service.name).recordRequest(startedAt);
        await this.runWithRelease(createJob({
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
            origin,
            startedAt,
            deadlineAt,
        }));
    }

    /** Finds where the stream began that a request resumes; undefined if the request resumes none. */
    private async resolveStream(route: Route, demand: CallerDemand): Promise<StreamResolution | undefined> {
        const { streams } = this.options;
        return route.kind !== "stream" || demand.lastEventId === undefined || streams === undefined
            ? undefined
            : streams.resolver.resolve(demand, route);
    }

    /** Reads the body while the quota is claimed; undefined if the caller has left or the request was refused. */
    private async readBodyAndClaimQuota(
        { caller, demand, claim, maxBodyBytes, startedAt, deadlineAt }: BodyReadOptions,
    ): Promise<Buffer | undefined> {
        const { accounts, readTime } = this.options;
        const [body, refusal] = await Promise.all([
            caller.readBody(maxBodyBytes, deadlineAt - readTime()),
            accounts.claimQuota(claim),
        ]);
        if (refusal === undefined && (body === undefined || caller.hasLeft)) {
            accounts.releaseQuota(claim);
        }
        if (caller.hasLeft) {
            this.recordLeft({ demand, startedAt, attempts: 0, waitedMs: 0 });
            return undefined;
        }
        if (body === undefined) {
            this.refuse(caller, demand, caller.bodyRefusal ?? bodyTooLargeRefusal);
            return undefined;
        }
        if (refusal !== undefined) {
            this.refuse(caller, demand, refusal);
            return undefined;
        }
        return body;
    }

    /** Delays the first requests of a process until it has read routes and upstreams. */
    private async waitForStart(since: number): Promise<void> {
        const { cluster, readTime, startWaitMs = defaultStartWaitMs } = this.options;
        while (!cluster.isComplete && readTime() - since < startWaitMs) {
            await this.chooser.waitForChange(startWaitMs);
        }
    }

    /** Runs a request; afterwards ends its permit if it was suspect, and releases its quota if it has not run. */
    private async runWithRelease(job: Job): Promise<void> {
        try {
            await this.runJob(job);
        }
        finally {
            cancelReturn(job);
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
                // An upstream has ended while it ran another copy of the request, so this copy needs a permit.
                continue;
            }
            if (job.caller.hasLeft || ready === undefined) {
                releaseReady(ready);
                this.finishUnserved(job, last);
                return;
            }
            const isRetry = job.sends > 0;
            const retry = isRetry ? this.retries.claim(job) : undefined;
            if (isRetry && retry === undefined) {
                releaseReady(ready);
                this.finishUnserved(job, last, "retryBudgetSpent");
                return;
            }
            const finished = await this.successors.waitForEnd(job, this.startAttempt(job, ready, retry));
            last = finished.end;
            guard.endPermit(job);
            if (last.kind === "complete" || last.kind === "callerLeft" || last.kind === "superseded") {
                this.recordEnd(job, last.kind, finished.choice);
                return;
            }
            if (!this.retries.mayRetry(job, last) || (last.kind === "broken" && guard.isSuspect(job))) {
                this.finishUnserved(job, last);
                return;
            }
            this.recordRetry(job, finished);
        }
    }

    /** Records that a request goes on at another upstream. */
    private recordRetry(job: Job, { choice, end }: FinishedAttempt): void {
        if (end.kind === "complete" || end.kind === "callerLeft" || end.kind === "superseded") {
            return;
        }
        this.options.onRetry(end.kind);
        this.options.log.recordImportant("retry", {
            request: job.demand.requestId,
            upstream: choice.state.upstream.id,
            why: end.kind,
            detail: end.kind === "failed" ? end.status : end.detail,
            events: job.progress.events,
        });
    }

    /** Whether the crash guard and the account guard currently allow a request to run. */
    private mayRun(job: Job): boolean {
        const { guard, accounts } = this.options;
        return !guard.isRefused(job) && !guard.isAwaitingPermit(job) && accounts.findRefusal(job) === undefined;
    }

    /** @param takeOver Ends the attempt that this one replaces; see {@link AttemptOptions}. */
    private startAttempt(
        job: Job,
        ready: ReadyUpstream,
        retry: RetryClaim | undefined,
        takeOver?: () => boolean,
    ): RunningAttempt {
        const { choice, admission, grant } = ready;
        const { readTime, view } = this.options;
        const { upstream, health, activity } = choice.state;
        const load = this.addLoad(job, choice);
        const response = activity.createResponse();
        const identity = this.options.accounts.findIdentity(job);
        const key = findAdapterKey(job.demand.model);
        const record = createAttemptRecord({
            sentAt: readTime(),
            replacedMs: this.readReplacedMs(key, choice),
            leavingSince: choice.state.leavingSince,
            limit: view.limits.find(upstream.id),
            resumedEvents: job.progress.events,
        });
        const { sentAt } = record;
        job.attempts += 1;
        const attempt = new Attempt({
            timeLeftMs: job.deadlineAt - sentAt,
            silenceLimits: this.readSilenceLimits(job, choice, sentAt),
            isLast: !mayRunAgain(job),
            readStartLimitMs: () => this.readStartLimitMs(key, choice),
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
            isFresh: !isIdempotent(job.route) || takeOver !== undefined,
            takeOver,
            progress: job.progress,
            readTime,
            checkWanted: () => this.presence.check(job.caller),
            // The state that the choice was based on may have changed by the time that the connection is open.
            checkBeforeSend: () => {
                record.writtenAt = this.maySend(job, choice, identity, grant) ? readTime() : undefined;
                record.lagMs = this.readLag();
                record.limitStatements = view.limits.countStatements(upstream.id);
                job.caller.possibleRuns += record.writtenAt === undefined ? 0 : 1;
                if (record.writtenAt !== undefined && job.service.engine === undefined) {
                    // Servers respond within a short time; engines may queue a request for longer.
                    response.start(record.writtenAt);
                }
                return record.writtenAt !== undefined;
            },
            checkFirstEvent: () => this.recordFirstEvent(job, upstream),
            onMetadata: metadata => {
                record.metadata = metadata;
                retry?.confirm(readTime());
                this.options.onMetadata(upstream.id, metadata, record.limitStatements);
            },
            onStart: () => {
                record.responseStartedAt = readTime();
                response.start(record.responseStartedAt);
                load.finishPrefill();
                admission?.start();
                health.recordSlowdown((readTime() - sentAt) / Math.max(30, choice.costMs), sentAt, readTime());
            },
            onData: now => activity.recordData(now),
            onPaused: isPaused => isPaused ? response.pause() : response.start(readTime()),
            checkEnded: () => this.options.guard.checkEnded(upstream, job, record.writtenAt),
            onStable: () => this.options.guard.recordAnswer(job),
        });
        this.attempts.set(attempt, job);
        return { attempt, choice, end: this.finishAttempt({ job, ready, retry, load, response, attempt, record }) };
    }

    /** Waits for the end of an attempt, and records it. */
    private async finishAttempt(started: StartedAttempt): Promise<AttemptEnd> {
        const { job, ready: { choice, admission, grant }, retry, load, response, attempt, record } = started;
        const { upstream, activity } = choice.state;
        const { readTime, guard, log } = this.options;
        const end = await attempt.end;
        this.attempts.delete(attempt);
        record.via = attempt.via;
        record.silentMs = attempt.longestSilenceMs;
        record.upstreamSilentMs = activity.readSilenceMs(readTime());
        response.pause();
        load.finish();
        admission?.finish();
        job.caller.possibleRuns -= record.writtenAt !== undefined && end.kind === "notRun" ? 1 : 0;
        this.finishClaims(job, record, grant, retry);
        this.results.record({ job, choice, end, sentAt: record.sentAt, metadata: record.metadata });
        log.record("attempt", formatAttempt({ job, choice, end, record, now: readTime() }));
        await guard.recordEnd(job, upstream, end, { sentAt: record.sentAt, answeringMs: attempt.answeringMs });
        return end;
    }

    /**
     * Records where the stream of a request begins, before its first event is sent to the caller.
     * @returns Whether the event may be sent: false if an incarnation of another software version may have produced it, or
     * if the stream began at another one.
     */
    private recordFirstEvent(job: Job, { id, name, service, softwareVersion }: Upstream): boolean {
        const { view, streams } = this.options;
        const isReplaced = view.listUpstreams().some(({ upstream }) =>
            upstream.name === name && upstream.id !== id && upstream.softwareVersion !== softwareVersion
        );
        const origin = job.origin ?? { service, softwareVersion };
        if (isReplaced || origin.softwareVersion !== softwareVersion) {
            return false;
        }
        job.origin = origin;
        const { lastEventId, requestId, resumes, budgetMs = defaultStreamLifeMs } = job.demand;
        const stream = lastEventId === undefined ? requestId : resumes;
        if (stream !== undefined) {
            streams?.directory.recordBegin(stream, origin, Math.min(budgetMs, maxStreamLifeMs));
        }
        return true;
    }

    /** Returns what a request that was not written had claimed, and confirms the retry of one that was. */
    private finishClaims(
        job: Job,
        { writtenAt }: AttemptRecord,
        grant: LimitGrant | undefined,
        retry: RetryClaim | undefined,
    ): void {
        if (writtenAt === undefined) {
            grant?.release();
            retry?.cancel();
            return;
        }
        job.sends += 1;
        retry?.confirm(this.options.readTime());
    }

    /** Whether all conditions of a choice still hold in the step that writes the request. */
    private maySend(
        job: Job,
        choice: UpstreamChoice,
        identity: CallerIdentity | undefined,
        grant: LimitGrant | undefined,
    ): boolean {
        const { view, accounts, readTime } = this.options;
        const { id } = choice.state.upstream;
        const now = readTime();
        return !job.caller.hasLeft && now < job.deadlineAt
            && view.maySend(id, grant?.isValid === true, now) && this.chooser.isEligible(job, choice.state.upstream)
            && this.mayRun(job) && accounts.hasIdentity(job, identity)
            && this.mayUseVersion(findAdapterKey(job.demand.model), choice);
    }

    /** Whether the adapter version of a choice may still be used. */
    private mayUseVersion(key: string | undefined, { version }: UpstreamChoice): boolean {
        return key === undefined || this.options.view.versions.mayUse(key, version ?? 0, this.readBoot());
    }

    /** Time left to start a request with the version of a choice, in milliseconds; infinite for the newest version. */
    private readStartLimitMs(key: string | undefined, { version }: UpstreamChoice): number {
        const { versions } = this.options.view;
        return key === undefined ? Infinity : versions.readUseEnd(key, version ?? 0) - this.readBoot();
    }

    /** Time since the version of a choice was replaced, in milliseconds; undefined for the newest or if unknown. */
    private readReplacedMs(key: string | undefined, { version }: UpstreamChoice): number | undefined {
        const replacedAt = key === undefined ? undefined : this.options.view.versions.findReplacedAt(key, version ?? 0);
        return formatElapsed(replacedAt === -Infinity ? undefined : replacedAt, this.readBoot());
    }

    /** Returns the priority of a request at an engine; undefined for plain services, which have no priorities. */
    private readPriority({ service, route, account }: Job): number | undefined {
        return service.engine === undefined ? undefined : readPriority(route.priority, account?.priority);
    }

    private readSilenceLimits(job: Job, { costMs }: UpstreamChoice, now: number): SilenceLimits {
        return readSilenceLimits({
            route: job.route,
            expectedMs: costMs,
            timeLeftMs: job.deadlineAt - now,
            mayRetry: mayRunAgain(job),
        });
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

    /** Finishes a request without a successful response. The last failure determines what the caller receives. */
    private finishUnserved(job: Job, last: AttemptEnd | undefined, reason?: RefusalReason): void {
        if (job.caller.hasLeft) {
            this.recordLeft(job);
            return;
        }
        if (last?.kind === "failed") {
            const headers = this.options.dialect.listResponseHeaders(last.headers);
            if (job.caller.hasResponseHead || last.body === undefined) {
                this.refuse(job.caller, job.demand, { status: 502, reason: "upstreamFailed" });
                return;
            }
            job.caller.startResponse(last.status, createBodyHeaders(headers, last.body));
            job.caller.endResponse(last.body);
            return;
        }
        this.refuse(job.caller, job.demand, this.refusals.create(job, last, reason));
    }

    /** Ends a request that this program does not serve. */
    refuse(caller: CallerExchange, demand: CallerDemand, refusal: RefusalResponse): void {
        const isCut = caller.hasResponseHead;
        this.options.onRefusal(refusal.reason, isCut);
        this.options.log.recordImportant("refused", {
            request: demand.requestId,
            status: refusal.status,
            reason: refusal.reason,
            ...refusal.detail,
            cutAfterBytes: isCut ? caller.bytesPassed : undefined,
            path: caller.path,
            routing: this.options.cluster.routes?.routing.version,
        });
        caller.refuse(refusal);
    }

    /** Records that a request goes to no upstream any more, since its caller has left. */
    private recordLeft(request: LeftRequest): void {
        this.options.log.record("callerLeft", formatLeft(request, this.options.readTime(), this.readLag()));
    }

    private recordEnd(job: Job, kind: AttemptEnd["kind"], choice: UpstreamChoice): void {
        const longPromptTokens = Math.round(this.longPromptThreshold.tokens);
        const now = this.options.readTime();
        this.options.log.record("served", { ...formatServed({ job, kind, choice, now }), longPromptTokens });
    }
}
