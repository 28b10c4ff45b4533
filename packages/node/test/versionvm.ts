import {
    type AdmissionAnswer,
    chooseEngine,
    type EngineChoiceOptions,
    type EngineNews,
    FleetView,
    type LoadHandle,
    type UpstreamChoice,
    type UpstreamState,
} from "@radishreel/fleet";
import { BootClock } from "../src/clock.js";
import { ClusterState } from "../src/knowledge/cluster.js";
import { ChangeSharing } from "../src/knowledge/sharing.js";
import type { PeerMessage } from "../src/links/messages.js";
import type { ClusterChange } from "../src/ports.js";
import { createSilentLog, createUpstream, engineService } from "./fixtures.js";
import { type EngineRequest, model } from "./versionengine.js";
import { EngineOwner } from "./versionowner.js";
import { readWaitMs } from "./versionstore.js";
import type { VersionWorld } from "./versionworld.js";

/** Time in which a replaced version may still begin, as the operator sets it, in milliseconds. */
export const replacedMs = 5000;

const readPauseMs = 60;
const maxBackoffMs = 500;
const pausedCheckMs = 50;
const housekeepingMs = 250;
const ownerStepMs = 20;
const newsIntervalMs = 100;
const answerTimeoutMs = 180;
const silencePauseMs = 1000;
const lookAgainMs = 100;
const declinedMs = 400;
const rejectedPauseMs = 60;
const newestDelayMs = 300;
const preparationMs = 2500;
const maxRedirects = 4;
const maxRejections = 6;

/** How long a request may take, and until when it must have been sent, in milliseconds. */
const timeoutMs = 12_000;
const lastSendMs = 6000;

/** A request of a caller. */
export interface Call {
    readonly key: string;
    readonly promptTokens: number;
    readonly runMs: number;
    /** Time that the opening of a connection takes, in milliseconds. */
    readonly openMs: number;
    /** When it came, in the world's time. */
    readonly arrivedAt: number;
    end: "served" | "refused" | "takenBack" | "timeout" | undefined;
}

/** A call while it is served. */
interface OpenCall {
    readonly call: Call;
    readonly startedAt: number;
    readonly tried: Map<string, { readonly costMs: number; readonly until: number; }>;
    redirects: number;
    rejections: number;
}

/** A place of a call at the owner of an engine. */
interface Ticket {
    readonly id: number;
    readonly owner: string;
    readonly engine: string;
}

type AnswerListener = (answer: AdmissionAnswer | "lost") => void;

/** One process of a VM: what it knows of versions, the engines that it owns, and the requests that it serves. */
export class VersionVm {
    isAlive = true;
    frozenUntil = 0;
    readonly view = new FleetView({ replacedMs });
    readonly owned = new Map<string, EngineOwner>();
    readonly sharing: ChangeSharing;
    private readonly cluster: ClusterState;
    private readonly bootClock: BootClock;
    private readonly bornAt: number;
    private frozenMs = 0;
    private isReading = true;
    private answeredAt = -Infinity;
    private confirmedAt: number | undefined;
    private backoffMs = 100;
    private tickets = 0;
    private readonly listeners = new Map<number, { readonly owner: string; readonly receive: AnswerListener; }>();
    /** Of requests under way: look again at when they are taken back. */
    private readonly withdrawals = new Set<() => void>();
    private readonly silentUntil = new Map<string, number>();

    constructor(private readonly world: VersionWorld, readonly vm: string) {
        this.bornAt = world.schedule.now;
        const readTime = (): number => this.readTime();
        const log = createSilentLog(readTime);
        this.bootClock = new BootClock({ readSteady: readTime, readWall: () => world.schedule.now });
        this.cluster = new ClusterState({
            view: this.view,
            log,
            readTime,
            readBoot: () => this.readBoot(),
            onChange: () => {},
            onUpstreamGone: () => {},
            onMember: () => {},
        });
        this.sharing = new ChangeSharing({
            vm,
            dataCentre: vm[0]!,
            cluster: this.cluster,
            store: {
                start: () => {},
                stop: () => {},
                appendMember: () => {},
                appendCrashReport: () => Promise.resolve(true),
                isReading: true,
                setReading: isReading => {
                    this.isReading = isReading;
                },
            },
            log,
            readTime,
            send: (to, message) => world.sendMessage(vm, to, message),
            broadcast: message => this.broadcast(message, () => true),
            sendNear: message => this.broadcast(message, other => other[0] === vm[0]),
            listLinked: () => world.listLinked(vm),
            readStoreQuietMs: () => this.readTime() - this.answeredAt,
            listCrashReports: () => [],
        });
        this.cluster.applyChanges(
            world.engines.map(({ name }) => ({ kind: "upstream", upstream: createUpstream(name), position: 0 })),
        );
    }

    start(): void {
        this.follow(undefined);
        this.runEvery(housekeepingMs, () => {
            this.sharing.update();
            this.world.claimEngines(this);
        });
        this.runEvery(ownerStepMs, () => this.owned.forEach(owner => owner.advance()));
        this.runEvery(newsIntervalMs, () => this.owned.forEach(owner => owner.sendChanges()));
    }

    pause(ms: number): void {
        this.frozenUntil = Math.max(this.frozenUntil, this.world.schedule.now);
        this.frozenUntil += ms;
        this.frozenMs += ms;
    }

    /** Runs something in this process: now, or when it runs on. */
    schedule(run: () => void): void {
        const waitMs = this.frozenUntil - this.world.schedule.now;
        if (waitMs > 0) {
            this.world.schedule.add(waitMs, () => this.schedule(run));
        }
        else if (this.isAlive) {
            run();
        }
    }

    /** Whether it has learned from anybody what the store holds. */
    get isComplete(): boolean {
        return this.cluster.readPositions.operator >= 0;
    }

    receive(from: string, message: PeerMessage): void {
        switch (message.type) {
            case "changes":
                this.receiveChanges(message.changes, from);
                return;
            case "positions":
                this.sharing.receivePositions(from, from[0]!, message.positions, message.canRead);
                return;
            case "follow":
                this.sharing.receiveFollow(from, message.isWanted, message.positions);
                return;
            case "pull":
                this.sharing.receivePull(from, message.positions);
                return;
            default:
                return;
        }
    }

    receiveNews(from: string, news: EngineNews): void {
        this.view.updateNews(from, news, this.readTime());
    }

    receiveAnswer(answer: AdmissionAnswer): void {
        this.listeners.get(answer.ticket)?.receive(answer);
    }

    /** A link to a VM has closed. */
    removeVm(vm: string): void {
        this.sharing.removeVm(vm);
        this.view.removeVm(vm);
        [...this.listeners.values()].filter(({ owner }) => owner === vm).forEach(({ receive }) => receive("lost"));
    }

    /** Becomes the owner of an engine. */
    own(name: string, fence: number): void {
        const { world } = this;
        const engine = world.findEngine(name);
        const owner = new EngineOwner({
            engine,
            fence,
            held: this.view.findUpstream(name)?.news?.held ?? {},
            readTime: () => this.readTime(),
            mayUse: (key, held, oldest) =>
                held >= (oldest ?? -Infinity) && this.view.versions.mayUse(key, held, this.readBoot()),
            findNewest: key => this.view.versions.findNewest(key)?.version,
            readFate: () => world.readFate(),
            delay: run => world.scheduleOrder(run),
            sendAnswer: (vm, answer) => world.sendTo(this.vm, vm, life => life.receiveAnswer(answer)),
            sendNews: news => this.sendNews(news),
        });
        this.owned.set(name, owner);
        owner.sendChanges();
    }

    sendNews(news: EngineNews): void {
        this.receiveNews(this.vm, news);
        for (const vm of this.world.listLinked(this.vm)) {
            this.world.sendTo(this.vm, vm, life => life.receiveNews(this.vm, news));
        }
    }

    serve(call: Call): void {
        if (!this.isComplete) {
            call.end = "refused";
            return;
        }
        this.runCall({ call, startedAt: this.readTime(), tried: new Map(), redirects: 0, rejections: 0 });
    }

    private readTime(): number {
        return this.world.schedule.now - this.frozenMs - this.bornAt;
    }

    private readBoot(): number {
        return this.bootClock.read();
    }

    private wait(ms: number, run: () => void): void {
        this.world.schedule.add(ms, () => this.schedule(run));
    }

    private runEvery(ms: number, run: () => void): void {
        run();
        this.wait(ms, () => this.runEvery(ms, run));
    }

    private broadcast(message: PeerMessage, isMeant: (vm: string) => boolean): void {
        this.world.listLinked(this.vm).filter(isMeant).forEach(vm => this.world.sendMessage(this.vm, vm, message));
    }

    /** Reads the store as the platform's reader does: the age of what it reads counts from what it has confirmed before. */
    private follow(from: number | undefined): void {
        if (from !== undefined && !this.isReading) {
            this.wait(pausedCheckMs, () => this.follow(from));
            return;
        }
        const askedAt = this.readBoot();
        this.world.store.read(this.vm, from, answer =>
            this.schedule(() => {
                this.cluster.setReachable(answer.kind !== "failed");
                if (answer.kind === "failed") {
                    this.wait(this.backoffMs, () => this.follow(from));
                    this.backoffMs = Math.min(this.backoffMs * 2, maxBackoffMs);
                    return;
                }
                this.backoffMs = 100;
                this.answeredAt = this.readTime();
                if (answer.kind === "trimmed") {
                    this.follow(undefined);
                    return;
                }
                const { records, end } = answer;
                const ageMs = this.confirmedAt === undefined ? undefined : this.readBoot() - this.confirmedAt;
                this.receiveChanges(records.map(record => record.kind === "version" ? { ...record, ageMs } : record));
                const hasWaited = from !== undefined && records.length === 0 && this.readBoot() - askedAt >= readWaitMs;
                this.confirmedAt = hasWaited ? askedAt + readWaitMs : askedAt;
                this.wait(readPauseMs, () => this.follow(end));
            }));
    }

    private receiveChanges(changes: readonly ClusterChange[], from?: string): void {
        const fresh = this.cluster.applyChanges(changes, from);
        if (fresh.length === 0) {
            return;
        }
        this.withdrawals.forEach(update => update());
        this.sharing.passChanges(fresh);
        for (const change of fresh) {
            if (change.kind === "version") {
                const holders = [...this.owned.values()].filter(({ places }) => change.key in places.listHeld());
                holders.forEach(owner => owner.prepare(change.key, change.version));
            }
        }
    }

    private runCall(open: OpenCall): void {
        const now = this.readTime();
        if (open.call.end !== undefined) {
            return;
        }
        if (now > open.startedAt + lastSendMs || open.rejections >= maxRejections) {
            open.call.end = "refused";
            return;
        }
        const choice = this.choose(open, now);
        if (choice === undefined) {
            this.wait(lookAgainMs, () => this.runCall(open));
            return;
        }
        if (this.canAsk(choice.state)) {
            this.askOwner(open, choice, now);
            return;
        }
        this.send(open, choice, undefined);
    }

    private canAsk({ owner }: UpstreamState): boolean {
        return owner !== undefined && (owner === this.vm || this.world.listLinked(this.vm).includes(owner))
            && (this.silentUntil.get(owner) ?? -Infinity) <= this.readTime();
    }

    private choose({ call, tried }: OpenCall, now: number): UpstreamChoice | undefined {
        const inForce = [...tried].filter(([, { until }]) => until > now);
        const options: EngineChoiceOptions = {
            view: this.view,
            service: engineService,
            dataCentre: this.vm[0]!,
            now,
            bootNow: this.readBoot(),
            penalties: new Map(inForce.map(([id, { costMs }]) => [id, costMs])),
            demand: {
                model,
                adapter: call.key.split("/")[1],
                promptTokens: call.promptTokens,
                outputTokens: 50,
                parts: [],
            },
            longPromptTokens: Infinity,
            findKeptTokens: () => 0,
            canAsk: state => this.canAsk(state),
        };
        const choice = chooseEngine(options);
        const newest = this.view.versions.findNewest(call.key)?.version ?? 0;
        if (choice?.isReady !== true || (choice.version ?? 0) >= newest) {
            return choice;
        }
        const next = chooseEngine({ ...options, needsNewest: true });
        if (next?.isReady === true && next.rankMs < choice.rankMs + newestDelayMs) {
            return next;
        }
        if (next?.isReady === false && next.state.owner !== undefined) {
            const { owner, upstream } = next.state;
            this.world.sendTo(
                this.vm,
                owner,
                life => life.owned.get(upstream.id)?.prepare(call.key, newest, preparationMs),
            );
        }
        return choice;
    }

    private askOwner(open: OpenCall, choice: UpstreamChoice, now: number): void {
        const { call } = open;
        const id = ++this.tickets;
        const owner = choice.state.owner!;
        const engine = choice.state.upstream.id;
        const ticket: Ticket = { id, owner, engine };
        const patienceMs = Math.max(0, open.startedAt + lastSendMs - now);
        let hasAnswer = false;
        this.listeners.set(id, {
            owner,
            receive: answer => {
                hasAnswer = true;
                if (answer === "lost" || answer.kind !== "queued") {
                    this.listeners.delete(id);
                    this.receiveOutcome(open, choice, ticket, answer);
                }
            },
        });
        const expireAfter = (ms: number, isExpected: () => boolean): void =>
            this.wait(ms, () => {
                if (this.listeners.has(id) && !isExpected()) {
                    this.silentUntil.set(owner, hasAnswer ? 0 : this.readTime() + silencePauseMs);
                    this.listeners.get(id)!.receive("lost");
                }
            });
        expireAfter(answerTimeoutMs, () => hasAnswer);
        expireAfter(patienceMs, () => false);
        const request = {
            ticket: id,
            model,
            key: call.key,
            version: this.view.versions.findOldest(call.key, this.readBoot()),
            prefillTokens: choice.prefillTokens,
            kvTokens: call.promptTokens + 50,
            hasLongAnswer: false,
            runMs: call.runMs,
            onTimeMs: 1000 - (now - open.startedAt),
            patienceMs,
            endMs: Math.max(0, open.startedAt + timeoutMs - now),
            expectedQueueMs: open.redirects < maxRedirects ? choice.waitMs : undefined,
        };
        this.world.sendTo(this.vm, owner, life => {
            const owned = life.owned.get(engine);
            if (owned === undefined) {
                this.world.sendTo(life.vm, this.vm, asker => asker.receiveAnswer({ kind: "notOwned", ticket: id }));
                return;
            }
            owned.ask(this.vm, request);
        });
    }

    private receiveOutcome(
        open: OpenCall,
        choice: UpstreamChoice,
        ticket: Ticket,
        answer: AdmissionAnswer | "lost",
    ): void {
        const now = this.readTime();
        const { key } = open.call;
        const retry = (costMs: number, ms: number): void => {
            this.endTicket(ticket);
            open.tried.set(ticket.engine, { costMs, until: now + ms });
            this.wait(5, () => this.runCall(open));
        };
        if (answer === "lost" || answer.kind === "notOwned" || answer.kind === "queued") {
            retry(200, rejectedPauseMs);
        }
        else if (answer.kind === "declined") {
            retry(answer.expectedMs, declinedMs);
        }
        else if (answer.kind === "busier") {
            open.redirects += 1;
            const { load, version, isComing } = answer;
            this.view.updateLoad(ticket.engine, load, { key, version, isComing }, now);
            retry(0, 0);
        }
        else if ((answer.version ?? Infinity) >= (this.view.versions.findOldest(key, this.readBoot()) ?? 0)) {
            this.send(open, { ...choice, version: answer.version }, ticket);
        }
        else {
            retry(0, 0);
        }
    }

    private endTicket(ticket: Ticket | undefined): void {
        if (ticket !== undefined) {
            const { owner, engine, id } = ticket;
            this.world.sendTo(this.vm, owner, life => life.owned.get(engine)?.end(this.vm, id));
        }
    }

    /** Opens a connection, looks at the version once more, writes, and takes back what may not begin any more. */
    private send(open: OpenCall, choice: UpstreamChoice, ticket: Ticket | undefined): void {
        const { call } = open;
        const { versions } = this.view;
        const engine = this.world.findEngine(choice.state.upstream.id);
        const version = choice.version ?? 0;
        const attemptedAt = this.readTime();
        let isOver = false;
        let hasBegun = false;
        const load: LoadHandle = this.view.addOwnLoad({
            upstream: engine.name,
            backlogTokens: choice.prefillTokens,
            kvTokens: call.promptTokens + 50,
            hasLongAnswer: false,
        }, attemptedAt);
        const finish = (run: () => void): void => {
            if (!isOver) {
                isOver = true;
                this.withdrawals.delete(updateWithdrawal);
                load.end();
                this.endTicket(ticket);
                run();
            }
        };
        const tryAgain = (pauseMs: number): void => {
            open.tried.set(engine.name, { costMs: Infinity, until: this.readTime() + pauseMs });
            this.wait(pauseMs + 1, () => this.runCall(open));
        };
        const receive = (run: () => void): () => void => () => this.wait(2, run);
        const request: EngineRequest = {
            vm: this.vm,
            key: call.key,
            version: choice.version,
            promptTokens: call.promptTokens,
            runMs: call.runMs,
            sentAt: Infinity,
            onRejected: receive(() =>
                finish(() => {
                    open.rejections += 1;
                    const { owner } = choice.state;
                    if (owner !== undefined) {
                        this.world.sendTo(this.vm, owner, life => life.owned.get(engine.name)?.recordMissing(call.key));
                    }
                    tryAgain(rejectedPauseMs);
                })
            ),
            onBegin: receive(() => {
                if (!isOver) {
                    hasBegun = true;
                    load.begin();
                    const paceMs = this.readTime() - attemptedAt;
                    choice.state.health.recordPace(paceMs / Math.max(30, choice.costMs));
                    if (ticket !== undefined) {
                        this.world.sendTo(
                            this.vm,
                            ticket.owner,
                            life => life.owned.get(engine.name)?.begin(this.vm, ticket.id),
                        );
                    }
                }
            }),
            onEnd: receive(() =>
                finish(() => {
                    call.end = "served";
                })
            ),
        };
        const cancel = (end: Call["end"]): void =>
            finish(() => {
                call.end = end;
                this.world.schedule.add(2, () => engine.cancel(request));
            });
        let looks = 0;
        const updateWithdrawal = (): void => {
            const look = ++looks;
            const withdrawMs = versions.readUseEnd(call.key, version) - this.readBoot();
            if (withdrawMs < Infinity) {
                this.wait(Math.max(0, withdrawMs), () => {
                    if (look === looks && !hasBegun && request.sentAt < Infinity) {
                        cancel("takenBack");
                    }
                });
            }
        };
        this.withdrawals.add(updateWithdrawal);
        updateWithdrawal();
        this.wait(Math.max(0, open.startedAt + timeoutMs - attemptedAt), () => cancel("timeout"));
        this.wait(call.openMs, () => {
            if (isOver) {
                return;
            }
            if (this.world.isCutOff(this.vm) || !versions.mayUse(call.key, version, this.readBoot())) {
                finish(() => this.wait(5, () => this.runCall(open)));
                return;
            }
            request.sentAt = this.world.schedule.now;
            this.world.schedule.add(2, () => engine.receive(request));
        });
    }
}
