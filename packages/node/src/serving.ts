import {
    type AdapterWant,
    chooseEngine,
    chooseServer,
    type EngineChoiceOptions,
    findAdapterKey,
    type FleetView,
    KeptParts,
    type LoadHandle,
    longAnswerTokens,
    type ModelDemand,
    PauseThreshold,
    prefillTokensPerMs,
    type RetryBudget,
    type UpstreamChoice,
    type UpstreamState,
} from "@radishreel/fleet";
import { chooseTarget, isIdempotent, type Route, type Service } from "@radishreel/routing";
import { Attempt, type AttemptEnd, createBodyHeaders, type StreamProgress } from "./attempt.js";
import type { CallerExchange, OwnAnswer, RefusalReason } from "./caller.js";
import type { ClusterState } from "./cluster.js";
import type { ConnectionPool } from "./connections.js";
import type { DecisionLog } from "./decisions.js";
import { minAttemptMs, readLastSendAt } from "./patience.js";
import type { CallerDemand, RequestDialect } from "./ports.js";

/** Upstreams that may turn one request away before it is refused: each has said that it did not run it. */
const maxRejections = 6;

/** A request that waits for its adapter looks again at least this often, in milliseconds. */
const lookAgainMs = 100;

/**
 * An adapter that was asked for is asked for elsewhere only after this long, in milliseconds: each further engine that
 * loads it takes a place from another request. Loads that take longer than this have failed.
 */
const askElsewhereMs = 2000;

/** How soon a refused caller may come back, in seconds: an owner or an upstream is replaced within some seconds. */
const retryAfterSeconds = 0.5;

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

/** How much longer a request may take with the newest version while an older one may still answer, in milliseconds. */
const newestDelayMs = 300;

/** Time that an engine takes for one token of an answer while it reads others' prompts as well, in milliseconds. */
const tokenMs = 10;

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
    readonly askLoad: (engine: string, want: AdapterWant) => void;
    readonly sendMissing: (engine: string, key: string) => void;
    readonly recordStart: (engine: string, key: string) => void;
    readonly onRefusal: (reason: RefusalReason) => void;
    readonly onRetry: (reason: string) => void;
}

/** One request while it is being served. */
interface Job {
    readonly caller: CallerExchange;
    readonly demand: CallerDemand;
    readonly route: Route;
    readonly service: Service;
    readonly body: Buffer | undefined;
    readonly startedAt: number;
    readonly deadlineAt: number;
    /** Upstreams that were tried, with the cost that this adds to them and the time until which it does. */
    readonly tried: Map<string, TriedUpstream>;
    readonly progress: StreamProgress;
    /** Upstreams that may have run it. */
    runs: number;
    rejections: number;
    attempts: number;
    waitedMs: number;
    asked: { engine: string; at: number; } | undefined;
}

/** An upstream that a request has tried. */
interface TriedUpstream {
    readonly costMs: number;
    readonly until: number;
}

/** Serves callers' requests: finds the route, chooses upstreams, and repeats what may be repeated. */
export class Serving {
    private readonly kept = new KeptParts();
    private readonly longPrompts = new PauseThreshold();
    private readonly waiters = new Set<() => void>();
    private readonly open = new Set<CallerExchange>();

    constructor(private readonly options: ServingOptions) {}

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

    /** Lets requests that wait for an adapter or an upstream look again. */
    receiveChange(): void {
        const waiters = [...this.waiters];
        this.waiters.clear();
        for (const wake of waiters) {
            wake();
        }
    }

    removeUpstream(id: string): void {
        this.kept.removeEngine(id);
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
        const body = await caller.readBody(table.routing.limits.maxBodyBytes);
        if (body === undefined) {
            if (!caller.hasLeft) {
                this.refuse(caller, demand, { status: 413, reason: "bodyTooLarge" });
            }
            return;
        }
        this.options.budgets(service.name).recordRequest(startedAt);
        const timeMs = Math.min(demand.budgetMs ?? Infinity, route.timeoutMs);
        await this.runJob({
            caller,
            demand,
            route,
            service,
            body: body.length === 0 ? undefined : body,
            startedAt,
            deadlineAt: startedAt + timeMs,
            tried: new Map(),
            progress: {
                lastEventId: demand.lastEventId,
                events: 0,
                firstEventAt: undefined,
                lastEventAt: 0,
                longestPauseMs: 0,
            },
            runs: 0,
            rejections: 0,
            attempts: 0,
            waitedMs: 0,
            asked: undefined,
        });
    }

    private async runJob(job: Job): Promise<void> {
        let last: AttemptEnd | undefined;
        for (;;) {
            const choice = await this.chooseReady(job);
            if (job.caller.hasLeft) {
                return;
            }
            if (choice === undefined) {
                this.finishWithout(job, last);
                return;
            }
            const isRepeat = job.attempts > 0 && !(last?.kind === "notRun" && !last.wasSent);
            if (isRepeat && !this.claimRepeat(job)) {
                this.finishWithout(job, last, "retryBudgetSpent");
                return;
            }
            last = await this.runAttempt(job, choice);
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

    /** Waits until an upstream can be sent the request; undefined if there is none, or its time is over. */
    private async chooseReady(job: Job): Promise<UpstreamChoice | undefined> {
        const { readTime } = this.options;
        for (;;) {
            const now = readTime();
            if (job.caller.hasLeft || now > readLastSendAt(job)) {
                return undefined;
            }
            const choice = this.choose(job, now);
            if (choice === undefined && !this.mayWait(job, now)) {
                return undefined;
            }
            if (choice?.isReady === true) {
                return choice;
            }
            if (choice !== undefined) {
                this.askForAdapter(job, choice, now);
            }
            await this.waitForChange(Math.min(lookAgainMs, readLastSendAt(job) - now));
            job.waitedMs += readTime() - now;
        }
    }

    /**
     * Whether waiting may bring an upstream: engines are there, and their owners are expected back. A plain service
     * without any server is refused at once.
     */
    private mayWait(job: Job, now: number): boolean {
        if (job.service.engine === undefined) {
            return false;
        }
        const half = job.startedAt + (job.deadlineAt - job.startedAt) / 2;
        return now < half && this.options.view.listUsable(job.service.name).length > 0;
    }

    private choose(job: Job, now: number): UpstreamChoice | undefined {
        const { view, dataCentre } = this.options;
        const inForce = [...job.tried].filter(([, { until }]) => until > now);
        const penalties = new Map(inForce.map(([id, { costMs }]) => [id, costMs]));
        const base = { view, service: job.service, dataCentre, now, penalties };
        const { model } = job.demand;
        if (job.service.engine === undefined || model === undefined) {
            return chooseServer(base);
        }
        const options: EngineChoiceOptions = {
            ...base,
            demand: model,
            longPromptTokens: this.longPrompts.tokens,
            findKeptTokens: engine => this.kept.countKeptTokens(engine, model, now),
        };
        const choice = chooseEngine(options);
        return choice === undefined ? undefined : this.chooseNewest(job, options, choice);
    }

    /**
     * The engine with the newest version, if an older one was chosen and it can be sent there without much delay; otherwise
     * has the newest loaded somewhere, so that it is there before the older one may no longer answer.
     */
    private chooseNewest(job: Job, options: EngineChoiceOptions, choice: UpstreamChoice): UpstreamChoice {
        const key = findAdapterKey(options.demand);
        const newest = key === undefined ? undefined : this.options.view.findNewestVersion(key);
        if (key === undefined || !choice.isReady || (choice.version ?? 0) >= (newest?.version ?? 0)) {
            return choice;
        }
        const next = chooseEngine({ ...options, needsNewest: true });
        if (next?.isReady === true && next.rankMs < choice.rankMs + newestDelayMs) {
            return next;
        }
        if (next?.isReady === false) {
            this.options.askLoad(next.state.upstream.id, this.createWant(job, options.demand, key, options.now));
        }
        return choice;
    }

    private askForAdapter(job: Job, choice: UpstreamChoice, now: number): void {
        const { model } = job.demand;
        const key = findAdapterKey(model);
        if (model === undefined || key === undefined) {
            return;
        }
        const engine = choice.state.upstream.id;
        const isWaiting = job.asked !== undefined && now - job.asked.at < askElsewhereMs;
        if (isWaiting && job.asked?.engine !== engine && this.mayLoad(job.asked!.engine)) {
            // Its load is under way on the engine that was asked first.
            return;
        }
        if (!isWaiting || job.asked?.engine !== engine) {
            job.asked = { engine, at: now };
            this.options.log.record("loadAsked", {
                request: job.demand.requestId,
                engine,
                key,
                costMs: Math.round(choice.costMs),
                waitedMs: Math.round(job.waitedMs),
                queued: choice.state.news?.queued.length,
            });
        }
        this.options.askLoad(engine, this.createWant(job, model, key, now));
    }

    private createWant(job: Job, model: ModelDemand, key: string, now: number): AdapterWant {
        const version = this.options.view.findNewestVersion(key)?.version;
        const readMs = model.promptTokens / prefillTokensPerMs;
        const runMs = readMs + model.outputTokens * tokenMs;
        return { key, version, runMs, onTimeMs: job.startedAt + job.route.aimMs - now - readMs };
    }

    /** Whether an engine that was asked for an adapter may still load it. */
    private mayLoad(engine: string): boolean {
        const state = this.options.view.findUpstream(engine);
        return state !== undefined && !state.upstream.isLeaving && state.news?.canOrder !== false;
    }

    private async waitForChange(ms: number): Promise<void> {
        await new Promise<void>(resolve => {
            const wake = (): void => {
                clearTimeout(timer);
                this.waiters.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, Math.max(1, ms));
            this.waiters.add(wake);
        });
    }

    private async runAttempt(job: Job, choice: UpstreamChoice): Promise<AttemptEnd> {
        const { readTime, log } = this.options;
        const sentAt = readTime();
        const { upstream, health } = choice.state;
        const load = this.addLoad(job, choice);
        job.attempts += 1;
        job.asked = undefined;
        const attempt = new Attempt({
            ...this.createAttemptTimes(job, choice, sentAt),
            caller: job.caller,
            requestId: job.demand.requestId,
            route: job.route,
            body: job.body,
            dialect: this.options.dialect,
            pool: this.options.pool,
            address: upstream.address,
            send: {
                upstreamId: upstream.id,
                budgetMs: Math.max(1, Math.floor(job.deadlineAt - sentAt)),
                version: choice.version === 0 ? undefined : choice.version,
                lastEventId: job.progress.lastEventId,
                priority: job.service.engine === undefined ? undefined : Math.min(9, job.route.priority),
            },
            isFresh: !isIdempotent(job.route),
            progress: job.progress,
            readTime,
            checkBeforeSend: () => !job.caller.hasLeft && readTime() < job.deadlineAt,
            onBegin: () => {
                load.begin();
                health.recordPace((readTime() - sentAt) / Math.max(30, choice.costMs));
            },
        });
        const end = await attempt.end;
        load.end();
        this.recordAttempt(job, choice, end, sentAt);
        log.record("attempt", {
            request: job.demand.requestId,
            upstream: upstream.id,
            adapter: job.demand.model?.adapter,
            version: choice.version,
            costMs: Math.round(choice.costMs),
            prefill: choice.prefillTokens,
            waitedMs: Math.round(job.waitedMs),
            ms: Math.round(readTime() - sentAt),
            end: end.kind,
            detail: "detail" in end ? end.detail : undefined,
            status: "status" in end ? end.status : undefined,
        });
        return end;
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
        const key = findAdapterKey(model);
        if (key !== undefined) {
            this.options.recordStart(choice.state.upstream.id, key);
        }
        return this.options.view.addOwnLoad({
            upstream: choice.state.upstream.id,
            backlogTokens: choice.prefillTokens,
            kvTokens: (model?.promptTokens ?? 0) + (model?.outputTokens ?? 0),
            adapterKey: key,
            hasLongAnswer: hasLongAnswer(model),
        }, this.options.readTime());
    }

    /** Learns from the end of an attempt. */
    private recordAttempt(job: Job, choice: UpstreamChoice, end: AttemptEnd, sentAt: number): void {
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
                job.tried.set(upstream.id, { costMs: failedCostMs, until: Infinity });
                health.recordFailure(now);
                return;
            case "broken":
                job.runs += 1;
                job.tried.set(upstream.id, { costMs: Infinity, until: Infinity });
                health.recordFailure(now);
                return;
            case "notRun":
                job.rejections += 1;
                if (!end.wasSent) {
                    if (end.detail !== "connection closed") {
                        health.recordUnreachable(now);
                    }
                    return;
                }
                if (key !== undefined) {
                    sendMissing(upstream.id, key);
                }
                job.tried.set(upstream.id, { costMs: Infinity, until: now + rejectedPauseMs });
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
        if (last?.kind === "broken") {
            return { status: last.reason === "timeout" ? 504 : 502, reason: last.reason };
        }
        if (job.runs > 0) {
            return { status: 502, reason: reason ?? "attemptsSpent" };
        }
        const isLate = this.options.readTime() > readLastSendAt(job);
        const fallback = isLate ? "timeout" : last === undefined ? "noUpstream" : "upstreamsBusy";
        return { status: 503, reason: reason ?? fallback, retryAfterSeconds };
    }

    private refuse(caller: CallerExchange, demand: CallerDemand, answer: OwnAnswer): void {
        this.options.onRefusal(answer.reason);
        this.options.log.recordImportant("refused", {
            request: demand.requestId,
            status: answer.status,
            reason: answer.reason,
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

function hasLongAnswer(model: ModelDemand | undefined): boolean {
    return model !== undefined && model.outputTokens > longAnswerTokens;
}
