import {
    type AdmissionReply,
    chooseEngine,
    type EngineChoiceOptions,
    type EngineStatus,
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

/** Setting for how long requests may still start on a replaced version, in milliseconds. */
export const replacedMs = 5000;

const readPauseMs = 60;
const maxBackoffMs = 500;
const pausedCheckMs = 50;
const housekeepingMs = 250;
const ownerStepMs = 20;
const statusIntervalMs = 100;
const replyTimeoutMs = 180;
const unresponsivePauseMs = 1000;
const recheckIntervalMs = 100;
const declinedPauseMs = 400;
const rejectedPauseMs = 60;
const maxNewestDelayMs = 300;
const preparationLifetimeMs = 2500;
const maxRedirects = 4;
const maxRejections = 6;

/** Timeout of a request, and time after which it is no longer sent, in milliseconds. */
const timeoutMs = 12_000;
const lastSendMs = 6000;

/** A request of a simulated caller. */
export interface Call {
    readonly key: string;
    readonly promptTokens: number;
    readonly runMs: number;
    /** Time that it takes to open a connection, in milliseconds. */
    readonly openMs: number;
    /** When the request arrived, in simulated time. */
    readonly arrivedAt: number;
    end: "served" | "refused" | "takenBack" | "timeout" | undefined;
}

/** State of a call while it is being served. */
interface OpenCall {
    readonly call: Call;
    readonly startedAt: number;
    readonly tried: Map<string, { readonly costMs: number; readonly until: number; }>;
    redirects: number;
    rejections: number;
}

/** Identifies an admission request of a call at the owner of an engine. */
interface Ticket {
    readonly id: number;
    readonly owner: string;
    readonly engine: string;
}

type ReplyListener = (reply: AdmissionReply | "lost") => void;

/** One simulated process of a VM, which learns versions, owns engines and serves requests. */
export class VersionVm {
    isAlive = true;
    frozenUntil = 0;
    readonly view = new FleetView({ replacedMs });
    readonly owned = new Map<string, EngineOwner>();
    readonly sharing: ChangeSharing;
    private readonly cluster: ClusterState;
    private readonly bootClock: BootClock;
    private readonly processStartedAt: number;
    private frozenMs = 0;
    private isReading = true;
    private storeRepliedAt = -Infinity;
    private confirmedAt: number | undefined;
    private backoffMs = 100;
    private tickets = 0;
    private readonly listeners = new Map<number, { readonly owner: string; readonly receive: ReplyListener; }>();
    /** Functions that update when the running requests are withdrawn. */
    private readonly withdrawals = new Set<() => void>();
    private readonly unresponsiveUntil = new Map<string, number>();

    constructor(private readonly world: VersionWorld, readonly vm: string) {
        this.processStartedAt = world.schedule.now;
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
            sendToDataCentre: message => this.broadcast(message, other => other[0] === vm[0]),
            listLinked: () => world.listLinked(vm),
            readStoreSilenceMs: () => this.readTime() - this.storeRepliedAt,
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
            this.world.updateOwners(this);
        });
        this.runEvery(ownerStepMs, () => this.owned.forEach(owner => owner.advance()));
        this.runEvery(statusIntervalMs, () => this.owned.forEach(owner => owner.sendChanges()));
    }

    pause(ms: number): void {
        this.frozenUntil = Math.max(this.frozenUntil, this.world.schedule.now);
        this.frozenUntil += ms;
        this.frozenMs += ms;
    }

    /** Runs a function in this process: now, or when the process resumes. */
    schedule(run: () => void): void {
        const waitMs = this.frozenUntil - this.world.schedule.now;
        if (waitMs > 0) {
            this.world.schedule.add(waitMs, () => this.schedule(run));
        }
        else if (this.isAlive) {
            run();
        }
    }

    /** Whether this process has received the contents of the store, from the store or from another VM. */
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

    receiveStatus(from: string, status: EngineStatus): void {
        this.view.updateStatus(from, status, this.readTime());
    }

    receiveReply(reply: AdmissionReply): void {
        this.listeners.get(reply.ticket)?.receive(reply);
    }

    /** Handles a closed link to a VM. */
    removeVm(vm: string): void {
        this.sharing.removeVm(vm);
        this.view.removeVm(vm);
        [...this.listeners.values()].filter(({ owner }) => owner === vm).forEach(({ receive }) => receive("lost"));
    }

    /** Makes this process the owner of an engine. */
    own(name: string, fence: number): void {
        const { world } = this;
        const engine = world.findEngine(name);
        const owner = new EngineOwner({
            engine,
            fence,
            held: this.view.findUpstream(name)?.status?.held ?? {},
            readTime: () => this.readTime(),
            mayUse: (key, held, oldest) =>
                held >= (oldest ?? -Infinity) && this.view.versions.mayUse(key, held, this.readBoot()),
            findNewest: key => this.view.versions.findNewest(key)?.version,
            hasRefreshes: world.options.hasRefreshes === true,
            readFate: () => world.readFate(),
            delay: run => world.scheduleOrder(run),
            sendReply: (vm, reply) => world.sendTo(this.vm, vm, vmProcess => vmProcess.receiveReply(reply)),
            sendStatus: status => this.sendStatus(status),
        });
        this.owned.set(name, owner);
        owner.sendChanges();
    }

    sendStatus(status: EngineStatus): void {
        this.receiveStatus(this.vm, status);
        for (const vm of this.world.listLinked(this.vm)) {
            this.world.sendTo(this.vm, vm, vmProcess => vmProcess.receiveStatus(this.vm, status));
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
        return this.world.schedule.now - this.frozenMs - this.processStartedAt;
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

    private broadcast(message: PeerMessage, isRecipient: (vm: string) => boolean): void {
        this.world.listLinked(this.vm).filter(isRecipient).forEach(vm => this.world.sendMessage(this.vm, vm, message));
    }

    /** Reads the store as the platform's reader does: ages of records count from the last confirmed read. */
    private follow(from: number | undefined): void {
        if (from !== undefined && !this.isReading) {
            this.wait(pausedCheckMs, () => this.follow(from));
            return;
        }
        const askedAt = this.readBoot();
        this.world.store.read(this.vm, from, response =>
            this.schedule(() => {
                this.cluster.setReachable(response.kind !== "failed");
                if (response.kind === "failed") {
                    this.wait(this.backoffMs, () => this.follow(from));
                    this.backoffMs = Math.min(this.backoffMs * 2, maxBackoffMs);
                    return;
                }
                this.backoffMs = 100;
                this.storeRepliedAt = this.readTime();
                if (response.kind === "trimmed") {
                    this.follow(undefined);
                    return;
                }
                const { records, end } = response;
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
        this.sharing.forwardChanges(fresh);
        for (const change of fresh) {
            if (change.kind === "version") {
                const holders = [...this.owned.values()].filter(({ slotPlanner }) =>
                    change.key in slotPlanner.listHeld()
                );
                holders.forEach(owner => owner.receiveVersion(change.key, change.version));
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
            this.wait(recheckIntervalMs, () => this.runCall(open));
            return;
        }
        if (this.canAskOwner(choice.state)) {
            this.askOwner(open, choice, now);
            return;
        }
        this.send(open, choice, undefined);
    }

    private canAskOwner({ owner }: UpstreamState): boolean {
        return owner !== undefined && (owner === this.vm || this.world.listLinked(this.vm).includes(owner))
            && (this.unresponsiveUntil.get(owner) ?? -Infinity) <= this.readTime();
    }

    private choose({ call, tried }: OpenCall, now: number): UpstreamChoice | undefined {
        const active = [...tried].filter(([, { until }]) => until > now);
        const options: EngineChoiceOptions = {
            view: this.view,
            service: engineService,
            dataCentre: this.vm[0]!,
            now,
            bootNow: this.readBoot(),
            penalties: new Map(active.map(([id, { costMs }]) => [id, costMs])),
            demand: {
                model,
                adapter: call.key.split("/")[1],
                promptTokens: call.promptTokens,
                outputTokens: 50,
                parts: [],
            },
            longPromptTokens: Infinity,
            findCachedTokens: () => 0,
            canAskOwner: state => this.canAskOwner(state),
        };
        const choice = chooseEngine(options);
        const newest = this.view.versions.findNewest(call.key)?.version ?? 0;
        if (choice?.isReady !== true || (choice.version ?? 0) >= newest) {
            return choice;
        }
        const next = chooseEngine({ ...options, needsNewest: true });
        if (next?.isReady === true && next.rankMs < choice.rankMs + maxNewestDelayMs) {
            return next;
        }
        if (next?.isReady === false && next.state.owner !== undefined) {
            const { owner, upstream } = next.state;
            this.world.sendTo(
                this.vm,
                owner,
                vmProcess => vmProcess.owned.get(upstream.id)?.prepare(call.key, newest, preparationLifetimeMs),
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
        const callerLimitMs = Math.max(0, open.startedAt + lastSendMs - now);
        let hasReply = false;
        this.listeners.set(id, {
            owner,
            receive: reply => {
                hasReply = true;
                if (reply === "lost" || reply.kind !== "queued") {
                    this.listeners.delete(id);
                    this.receiveOutcome(open, choice, ticket, reply);
                }
            },
        });
        const expireAfter = (ms: number, isExpected: () => boolean): void =>
            this.wait(ms, () => {
                if (this.listeners.has(id) && !isExpected()) {
                    this.unresponsiveUntil.set(owner, hasReply ? 0 : this.readTime() + unresponsivePauseMs);
                    this.listeners.get(id)!.receive("lost");
                }
            });
        expireAfter(replyTimeoutMs, () => hasReply);
        expireAfter(callerLimitMs, () => false);
        const request = {
            ticket: id,
            model,
            key: call.key,
            version: this.view.versions.findOldestUsable(call.key, this.readBoot()),
            prefillTokens: choice.prefillTokens,
            kvTokens: call.promptTokens + 50,
            hasLongAnswer: false,
            runMs: call.runMs,
            onTimeMs: 1000 - (now - open.startedAt),
            patienceMs: callerLimitMs,
            endMs: Math.max(0, open.startedAt + timeoutMs - now),
            expectedQueueMs: open.redirects < maxRedirects ? choice.waitMs : undefined,
        };
        this.world.sendTo(this.vm, owner, vmProcess => {
            const owned = vmProcess.owned.get(engine);
            if (owned === undefined) {
                this.world.sendTo(
                    vmProcess.vm,
                    this.vm,
                    requester => requester.receiveReply({ kind: "notOwned", ticket: id }),
                );
                return;
            }
            owned.ask(this.vm, request);
        });
    }

    private receiveOutcome(
        open: OpenCall,
        choice: UpstreamChoice,
        ticket: Ticket,
        reply: AdmissionReply | "lost",
    ): void {
        const now = this.readTime();
        const { key } = open.call;
        const retry = (costMs: number, ms: number): void => {
            this.endTicket(ticket);
            open.tried.set(ticket.engine, { costMs, until: now + ms });
            this.wait(5, () => this.runCall(open));
        };
        if (reply === "lost" || reply.kind === "notOwned" || reply.kind === "queued") {
            retry(200, rejectedPauseMs);
        }
        else if (reply.kind === "declined") {
            retry(reply.expectedMs, declinedPauseMs);
        }
        else if (reply.kind === "busier") {
            open.redirects += 1;
            const { load, version, isComing } = reply;
            this.view.updateLoad(ticket.engine, load, { key, version, isComing }, now);
            retry(0, 0);
        }
        else if ((reply.version ?? Infinity) >= (this.view.versions.findOldestUsable(key, this.readBoot()) ?? 0)) {
            this.send(open, { ...choice, version: reply.version }, ticket);
        }
        else {
            retry(0, 0);
        }
    }

    private endTicket(ticket: Ticket | undefined): void {
        if (ticket !== undefined) {
            const { owner, engine, id } = ticket;
            this.world.sendTo(this.vm, owner, vmProcess => vmProcess.owned.get(engine)?.finish(this.vm, id));
        }
    }

    /** Opens a connection, checks the version again, writes the request, and withdraws it if it can't start in time. */
    private send(open: OpenCall, choice: UpstreamChoice, ticket: Ticket | undefined): void {
        const { call } = open;
        const { versions } = this.view;
        const engine = this.world.findEngine(choice.state.upstream.id);
        const version = choice.version ?? 0;
        const attemptedAt = this.readTime();
        let isFinished = false;
        let hasStarted = false;
        const load: LoadHandle = this.view.addOwnLoad({
            upstream: engine.name,
            backlogTokens: choice.prefillTokens,
            kvTokens: call.promptTokens + 50,
            hasLongAnswer: false,
        }, attemptedAt);
        const finish = (run: () => void): void => {
            if (!isFinished) {
                isFinished = true;
                this.withdrawals.delete(updateWithdrawal);
                load.finish();
                this.endTicket(ticket);
                run();
            }
        };
        const retryLater = (pauseMs: number): void => {
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
                        this.world.sendTo(this.vm, owner, vmProcess =>
                            vmProcess.owned.get(engine.name)?.recordMissing(call.key));
                    }
                    retryLater(rejectedPauseMs);
                })
            ),
            onStart: receive(() => {
                if (!isFinished) {
                    hasStarted = true;
                    load.finishPrefill();
                    const paceMs = this.readTime() - attemptedAt;
                    choice.state.health.recordSlowdown(
                        paceMs / Math.max(30, choice.costMs),
                        attemptedAt,
                        this.readTime(),
                    );
                    if (ticket !== undefined) {
                        this.world.sendTo(
                            this.vm,
                            ticket.owner,
                            vmProcess => vmProcess.owned.get(engine.name)?.start(this.vm, ticket.id),
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
        let updateCount = 0;
        const updateWithdrawal = (): void => {
            const updateNumber = ++updateCount;
            const withdrawMs = versions.readUseEnd(call.key, version) - this.readBoot();
            if (withdrawMs < Infinity) {
                this.wait(Math.max(0, withdrawMs), () => {
                    if (updateNumber === updateCount && !hasStarted && request.sentAt < Infinity) {
                        cancel("takenBack");
                    }
                });
            }
        };
        this.withdrawals.add(updateWithdrawal);
        updateWithdrawal();
        this.wait(Math.max(0, open.startedAt + timeoutMs - attemptedAt), () => cancel("timeout"));
        this.wait(call.openMs, () => {
            if (isFinished) {
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
