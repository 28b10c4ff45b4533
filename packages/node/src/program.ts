import { type AdmissionAnswer, type CrashReport, type EngineNews, FleetView } from "@radishreel/fleet";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { interpret } from "robot3";
import { AccountGuard } from "./accounts/index.js";
import { BootClock, readNow } from "./clock.js";
import { CrashGuard } from "./crashes/index.js";
import { DecisionLog } from "./decisions.js";
import { ClusterState } from "./knowledge/cluster.js";
import { DepartureSharing } from "./knowledge/departures.js";
import { IsolationWatch } from "./knowledge/isolation.js";
import { ChangeSharing } from "./knowledge/sharing.js";
import { programMachine } from "./life.js";
import { PeerDispatcher } from "./links/dispatcher.js";
import { HubWatch } from "./links/hub.js";
import type { PeerMessage } from "./links/messages.js";
import { Peers } from "./links/peers.js";
import { formatAddress, startCallers, startReadiness } from "./listeners.js";
import { NodeMetrics } from "./metrics.js";
import { type NodeOptions, usualAccountBounds } from "./options.js";
import { type Handover, Owning } from "./ownership/owning.js";
import type { ClusterChange, ClusterReceiver, Member, UnreadableRecord } from "./ports.js";
import { PressureWatch } from "./pressure.js";
import { type AdmissionMessage, Admissions } from "./requests/admissions.js";
import { RetryBudgets } from "./requests/budgets.js";
import type { CallerExchange } from "./requests/caller.js";
import { ConnectionPool } from "./requests/connections.js";
import { Serving } from "./requests/serving.js";

/** How often slow checks run, in milliseconds. */
const housekeepingMs = 250;

/**
 * How long a VM opens no links when all start for the first time, in milliseconds: they start within 0.3 s of each other, and
 * each would link to the first ones that it reads of. Until then each reads the store by itself, so it must not be longer.
 */
const firstStartMs = 500;

/** After this long in a planned stop no caller is sent here any more, in milliseconds: two checks of the balancer missed. */
const balancerNoticeMs = 2300;

/** Part of the grace time after which requests that still run are broken off: the platform kills soon after. */
const graceShare = 0.93;

/** Longest wait for the store in a planned stop, in milliseconds. */
const releaseWaitMs = 800;

/** Most of what is wrong with a record that is written to the log, in characters: another writer decides its length. */
const maxReasonLength = 300;

/** VMs assumed before any is known: the retry budget is divided among them. */
const minVms = 4;

/** One VM's data path and control path. */
export class NodeProgram implements ClusterReceiver {
    private readonly life = interpret(programMachine, () => {});
    private readonly log: DecisionLog;
    private readonly metrics = new NodeMetrics();
    private readonly view: FleetView;
    private readonly cluster: ClusterState;
    private readonly departures: DepartureSharing;
    private readonly pool = new ConnectionPool(() => this.pressure.recordWork("upstream connection"));
    private readonly guard: CrashGuard;
    private readonly serving: Serving;
    private readonly peers: Peers;
    private readonly callerServer: Server;
    private readonly readinessServer = createServer();
    private readonly timers: NodeJS.Timeout[] = [];
    private readonly budgets: RetryBudgets;
    private readonly sharing: ChangeSharing;
    private readonly isolation = new IsolationWatch();
    private readonly hub = new HubWatch({ startedAt: readNow() });
    private readonly pressure: PressureWatch;
    private readonly admissions: Admissions;
    private readonly bootClock: BootClock;
    private readonly accounts: AccountGuard;
    /** Tells this process from others of the same VM. */
    private readonly incarnation = Date.now();
    private readonly dispatcher: PeerDispatcher;
    private owning: Owning | undefined;
    private past: Member | undefined;
    private hasReadMembers = false;
    private stopping: Promise<void> | undefined;

    constructor(private readonly options: NodeOptions) {
        const { settings, sink } = options;
        this.log = new DecisionLog({ program: "radishreel-node", vm: settings.vm, sink, readTime: readNow });
        this.pressure = new PressureWatch({
            log: this.log,
            readTime: readNow,
            intervalMs: housekeepingMs,
            onLag: ms => this.metrics.recordLag(ms),
        });
        this.budgets = new RetryBudgets({
            ratio: settings.retryRatio,
            slack: settings.retrySlack,
            windowMs: settings.retryWindowMs,
        });
        this.bootClock = options.bootClock ?? new BootClock();
        this.view = new FleetView({ replacedMs: settings.replacedMs });
        this.cluster = new ClusterState({
            view: this.view,
            log: this.log,
            readTime: readNow,
            readBoot: () => this.bootClock.read(),
            onChange: () => this.receiveClusterChange(),
            onUpstreamGone: id => this.serving.removeUpstream(id),
            onUpstream: upstream => this.guard.receiveEntry(upstream),
            onVersion: () => this.serving.receiveVersion(),
            onMember: member => this.receiveMember(member),
        });
        this.departures = new DepartureSharing({
            view: this.view,
            log: this.log,
            readTime: readNow,
            broadcast: message => this.peers.broadcast(message),
            onChange: () => this.receiveClusterChange(),
        });
        this.guard = this.createGuard();
        this.accounts = this.createAccounts();
        this.admissions = new Admissions({ readTime: readNow, send: (vm, message) => this.sendAdmission(vm, message) });
        this.serving = this.createServing();
        this.peers = this.createPeers();
        this.sharing = new ChangeSharing({
            vm: settings.vm,
            dataCentre: settings.dataCentre,
            cluster: this.cluster,
            store: options.store,
            log: this.log,
            readTime: readNow,
            send: (vm, message) => this.peers.send(vm, message),
            broadcast: message => this.peers.broadcast(message),
            sendNear: message => this.peers.sendNear(message),
            listLinked: () => this.peers.listConnected(),
            readStoreQuietMs: () => this.owning?.renewalAgeMs ?? 0,
            listCrashReports: () => this.guard.listReports(),
            entriesPauseMs: settings.entriesPauseMs,
        });
        this.dispatcher = this.createDispatcher();
        this.callerServer = createServer({ keepAlive: true, noDelay: true });
        this.callerServer.on("connection", () => this.pressure.recordWork("caller connection"));
    }

    /** `host:port` of the listener for callers, once it listens. */
    get callerAddress(): string {
        const { port } = this.callerServer.address() as AddressInfo;
        return `${this.options.settings.callers.host}:${port}`;
    }

    /** `host:port` of the listener for the balancer and for operators, once it listens. */
    get readinessAddress(): string {
        const { port } = this.readinessServer.address() as AddressInfo;
        return `${this.options.settings.readiness.host}:${port}`;
    }

    /** Upstreams that are registered as far as this VM knows. */
    countUpstreams(): number {
        return this.view.listUpstreams().length;
    }

    /** Names of the upstreams that are registered as far as this VM knows. */
    listUpstreams(): string[] {
        return this.view.listUpstreams().map(({ upstream }) => upstream.name);
    }

    /** Upstreams of a service that may get new requests. */
    countUsable(service: string): number {
        return this.view.listUsable(service).length;
    }

    /** Requests under which upstreams have ended lately, as far as this VM knows. */
    countSuspects(): number {
        return this.guard.requestCount;
    }

    /** Whether this VM reads the store by itself, and not through another one of its data centre. */
    get isReading(): boolean {
        return this.options.store.isReading;
    }

    /** Requests that have no whole answer yet. */
    countOpen(): number {
        return this.serving.openCount;
    }

    /** Whether the balancer may send callers here. */
    get isReady(): boolean {
        return this.life.machine.current === "serving" && !this.isolation.isIsolated;
    }

    /** @param detail What else the first line of the log says. */
    async start(detail: object = {}): Promise<void> {
        const { settings, store } = this.options;
        this.log.recordImportant("start", { dataCentre: settings.dataCentre, pid: process.pid, ...detail });
        await startCallers(this.callerServer, settings.callers, caller => this.handleCaller(caller));
        await startReadiness(this.readinessServer, settings.readiness, {
            path: settings.readinessPath,
            isReady: () => this.isReady,
            readMetrics: () => this.metrics.registry.metrics(),
            listRefused: () => this.guard.listRefused(),
            releaseRequest: digest => this.guard.release(digest),
        });
        await this.peers.start();
        if (settings.isFirstStart === true) {
            this.peers.pauseOpening();
            this.timers.push(setTimeout(() => this.peers.resumeOpening(), firstStartMs));
        }
        this.setSeeds(settings.seeds);
        this.owning = this.createOwning();
        store.start(this);
        this.timers.push(
            setInterval(() => this.runHousekeeping(), housekeepingMs),
        );
    }

    /** Takes the addresses of other VMs, at start and when settings change. */
    setSeeds(seeds: readonly string[]): void {
        for (const address of seeds) {
            this.peers.addPeer({ id: undefined, address });
        }
    }

    /** Records a change of the settings file. */
    recordReload(detail: object): void {
        this.log.recordImportant("reload", detail);
    }

    /** Stops without cutting anything off. Asked again, it waits for the same stop. */
    stop(): Promise<void> {
        this.stopping ??= this.runStop();
        return this.stopping;
    }

    /** Counts a call to the store. */
    recordStoreCall(kind: string): void {
        this.metrics.recordStoreCall(kind);
        this.pressure.recordWork(`store ${kind}`);
    }

    receiveChanges(changes: readonly ClusterChange[], from?: string): void {
        const fresh = this.cluster.applyChanges(changes, from);
        if (fresh.length === 0) {
            return;
        }
        this.sharing.passChanges(fresh);
        this.receiveVersions(fresh);
    }

    receiveUpstreamList(names: ReadonlySet<string>, position: number): void {
        this.cluster.applyUpstreamList(names, position);
    }

    receiveUnreadable(record: UnreadableRecord): void {
        this.metrics.recordUnreadable(record.topic);
        this.log.recordImportant("recordUnreadable", { ...record, why: record.why.slice(0, maxReasonLength) });
    }

    receiveCrashReports(reports: readonly CrashReport[]): void {
        const fresh = this.guard.receiveReports(reports);
        if (fresh.length > 0) {
            this.sharing.passMessage({ type: "crashReports", reports: fresh });
        }
    }

    receiveConfirmed(asOf: number): void {
        this.accounts.recordConfirmed(asOf);
    }

    receiveMembersRead(): void {
        this.hasReadMembers = true;
        this.log.recordImportant("past", { ...this.past });
        if (this.past?.generation !== undefined) {
            // Whoever took over what this VM owned must hear that it runs again.
            this.peers.setHub(true);
        }
        this.owning?.start(this.past);
        this.appendMember({});
    }

    receiveReachable(isReachable: boolean, detail: string): void {
        if (isReachable !== this.cluster.isStoreReachable) {
            this.log.recordImportant(isReachable ? "storeRegained" : "storeLost", { detail });
        }
        this.cluster.setReachable(isReachable);
        this.sharing.update();
    }

    private receiveVersions(changes: readonly ClusterChange[]): void {
        for (const change of changes) {
            if (change.kind === "version") {
                this.log.recordImportant("adapterVersion", { key: change.key, version: change.version });
                this.owning?.engines.updateVersion(change.key, change.version);
            }
        }
    }

    private receiveClusterChange(): void {
        const table = this.cluster.routes;
        if (table === undefined) {
            return;
        }
        this.metrics.setRoutingVersion(table.routing.version);
        this.callerServer.keepAliveTimeout = table.routing.limits.idleTimeoutMs;
        this.callerServer.headersTimeout = table.routing.limits.headerTimeoutMs + 1000;
        if (this.life.machine.current === "starting") {
            this.life.send("ready");
            this.log.recordImportant("ready", { version: table.routing.version });
        }
        this.owning?.update();
        this.serving.receiveChange();
    }

    private createServing(): Serving {
        const { settings, dialect } = this.options;
        return new Serving({
            dataCentre: settings.dataCentre,
            view: this.view,
            cluster: this.cluster,
            budgets: service => this.budgets.read(service),
            countVms: () => Math.max(minVms, this.peers.countLikely() + 1),
            dialect,
            pool: this.pool,
            log: this.log,
            readTime: readNow,
            readBoot: () => this.bootClock.read(),
            admissions: this.admissions,
            guard: this.guard,
            accounts: this.accounts,
            isLinked: vm => vm === settings.vm || this.peers.isConnected(vm),
            sendPreparation: ({ engine, want }) => this.sendToOwner(engine, { type: "prepare", engine, want }),
            sendMissing: (engine, key) => this.sendToOwner(engine, { type: "missing", engine, key }),
            onLeaving: upstream => this.departures.recordAnswer(upstream),
            onRest: () => this.metrics.recordRest(),
            onRefusal: reason => this.metrics.recordRefusal(reason),
            onRetry: after => this.metrics.recordRetry(after),
            onChoice: () => this.recordChoice(),
            onRedirect: () => this.metrics.recordRedirect(),
            startWaitMs: settings.startWaitMs,
        });
    }

    private createGuard(): CrashGuard {
        const { settings, store } = this.options;
        return new CrashGuard({
            vm: settings.vm,
            incarnation: this.incarnation,
            view: this.view,
            store,
            log: this.log,
            readTime: readNow,
            send: (vm, message) => this.sendToVm(vm, message),
            broadcast: message => this.peers.broadcast(message),
            listReferees: () => this.listCoordinators(),
            onChange: () => this.serving.receiveChange(),
            onUpstreamEnd: service => this.metrics.recordUpstreamEnd(service),
        });
    }

    private createAccounts(): AccountGuard {
        const { settings, store } = this.options;
        return new AccountGuard({
            vm: settings.vm,
            bounds: settings.accounts ?? usualAccountBounds,
            cluster: this.cluster,
            readBoot: () => this.bootClock.read(),
            isReading: () => store.isReading,
            listConfirmers: () => this.sharing.listConfirmers(),
            listCoordinators: () => this.listCoordinators().filter(vm => this.admissions.isResponsive(vm)),
            countVms: () => this.peers.countLikely() + 1,
            send: (vm, message) => this.peers.send(vm, message),
            onVerdict: (account, verdict) => this.metrics.recordAccount(account, verdict),
        });
    }

    /**
     * VMs that can coordinate something for all VMs: among few VMs any of them; beyond that owners of engines, to which all
     * are linked.
     */
    private listCoordinators(): string[] {
        const known = [this.options.settings.vm, ...this.peers.listHeirs()];
        if (this.peers.isMesh) {
            return known;
        }
        const owners = new Set(this.view.listUpstreams().map(({ owner }) => owner));
        return known.filter(vm => owners.has(vm));
    }

    private createPeers(): Peers {
        const { settings } = this.options;
        return new Peers({
            self: {
                id: settings.vm,
                role: "node",
                dataCentre: settings.dataCentre,
                incarnation: this.incarnation,
                address: formatAddress(settings.peers),
            },
            secret: settings.secret,
            host: settings.peers.host,
            port: settings.peers.port,
            log: this.log,
            readTime: readNow,
            onFrame: (direction, type) => this.recordFrame(direction, type),
            onBytes: (direction, count) => this.metrics.recordBytes(direction, count),
            createGreeting: vm => this.createGreeting(vm),
            onMessage: (vm, message) => this.receivePeerMessage(vm, message),
            onStart: () => this.owning?.receiveStart(),
            onClose: vm => this.receivePeerClose(vm),
        });
    }

    private createDispatcher(): PeerDispatcher {
        const { peers, sharing, departures, guard, accounts, admissions } = this;
        return new PeerDispatcher({
            peers,
            sharing,
            departures,
            guard,
            accounts,
            admissions,
            readOwning: () => this.owning,
            onChanges: (vm, changes) => this.receiveChanges(changes, vm),
            onCrashReports: reports => this.receiveCrashReports(reports),
            onNews: (vm, news) => this.receiveNews(vm, news),
            onLeaving: vm => this.receivePeerClose(vm),
        });
    }

    private createOwning(): Owning {
        const { settings, claims, orders } = this.options;
        return new Owning({
            vm: settings.vm,
            view: this.view,
            claims,
            orders,
            log: this.log,
            readTime: readNow,
            turnMs: settings.turnMs,
            findService: name => this.cluster.routes?.findService(name),
            sendNews: news => this.sendNews(news),
            sendAnswer: (vm, answer) => this.sendAnswer(vm, answer),
            onLeaving: engine => this.departures.recordAnswer(engine),
            sendRelease: (shards, generation) => this.peers.broadcast({ type: "release", shards, generation }),
            sendQuery: query => this.peers.broadcast({ type: "claimQuery", ...query, givers: [...query.givers] }),
            incarnation: this.incarnation,
            bootClock: this.bootClock,
            readIncarnation: vm => this.peers.findIncarnation(vm),
            sendHandover: handover => this.sendHandover(handover),
            countOthers: () => this.peers.countLikely(),
            recordGeneration: generation => this.appendMember({ generation }),
            onClaimEvent: event => this.metrics.recordClaimEvent(event),
        });
    }

    /** Writes this VM's entry, in place of what it said before. */
    private appendMember(state: { readonly generation?: number; readonly hasLeft?: boolean; }): void {
        const { settings, store } = this.options;
        const { vm: id, dataCentre, peers } = settings;
        store.appendMember({ id, dataCentre, address: formatAddress(peers), ...state });
    }

    private receiveMember(member: Member): void {
        if (member.id !== this.options.settings.vm) {
            this.peers.addPeer(member);
        }
        else if (!this.hasReadMembers) {
            this.past = member;
        }
    }

    private handleCaller(caller: CallerExchange): void {
        if (this.stopping !== undefined || this.isolation.isIsolated) {
            caller.closeAfterAnswer();
        }
        this.pressure.recordWork("request");
        void this.serving.handle(caller).finally(() => this.pressure.recordAnswer(caller));
    }

    private createGreeting(vm: string): PeerMessage[] {
        this.pressure.recordWork("link opened");
        return [
            ...this.sharing.createGreeting(vm),
            ...this.departures.createGreeting(),
            { type: "news", news: this.owning?.engines.listNews() ?? [] },
            ...this.guard.createGreeting(),
            ...this.listEnginesOf(vm).map(engine => this.admissions.createRuns(engine, vm)),
            ...(this.stopping === undefined ? [] : [{ type: "leaving" } as const]),
        ];
    }

    /** Engines that a VM owns, as far as is known. */
    private listEnginesOf(vm: string): string[] {
        return this.view.listUpstreams().filter(({ owner }) => owner === vm).map(({ upstream }) => upstream.id);
    }

    private receivePeerMessage(vm: string, message: PeerMessage): void {
        this.admissions.recordHeard(vm);
        this.dispatcher.dispatch(vm, message);
    }

    private receiveNews(vm: string, news: readonly EngineNews[]): void {
        for (const item of news) {
            const before = this.view.findUpstream(item.engine);
            const known = { owner: before?.owner, fence: before?.news?.fence };
            if (this.view.updateNews(vm, item, readNow()) && item.isOwned) {
                const isNewOwner = known.owner !== vm || known.fence !== item.fence;
                if (isNewOwner) {
                    this.admissions.updateOwner(item.engine, vm);
                }
            }
        }
        this.serving.receiveNews();
    }

    private receivePeerClose(vm: string): void {
        this.pressure.recordWork("link lost");
        this.sharing.removeVm(vm);
        this.view.removeVm(vm);
        this.admissions.removeOwner(vm);
        this.guard.removeVm(vm);
        this.accounts.removeVm(vm);
        this.serving.receiveChange();
    }

    private sendNews(news: EngineNews[]): void {
        this.receiveNews(this.options.settings.vm, news);
        this.peers.broadcast({ type: "news", news });
    }

    /** Sends word of a request of this VM to the owner of an engine. */
    private sendAdmission(vm: string, message: AdmissionMessage): boolean {
        if (vm === this.options.settings.vm) {
            this.receiveAdmission(vm, message);
            return true;
        }
        return this.peers.send(vm, message);
    }

    private receiveAdmission(vm: string, message: AdmissionMessage): void {
        if (this.owning !== undefined) {
            this.owning.engines.receiveRequest(vm, message);
        }
    }

    /** Answers a request that asked to be let in on an engine of this VM. */
    private sendAnswer(vm: string, answer: AdmissionAnswer): void {
        if (vm === this.options.settings.vm) {
            this.admissions.receiveAnswer(vm, answer);
        }
        else {
            this.peers.send(vm, { type: "admission", answer });
        }
    }

    /** Sends to the owner of an engine, which may be this VM. */
    private sendToOwner(engine: string, message: PeerMessage): void {
        const owner = this.view.findUpstream(engine)?.owner;
        if (owner !== undefined) {
            this.sendToVm(owner, message);
        }
    }

    /** Sends to a VM, which may be this one. @returns Whether it could be sent. */
    private sendToVm(vm: string, message: PeerMessage): boolean {
        if (vm === this.options.settings.vm) {
            this.receivePeerMessage(vm, message);
            return true;
        }
        return this.peers.send(vm, message);
    }

    private sendHandover(handover: Handover): boolean {
        const [heir] = this.peers.listHeirs();
        return heir !== undefined
            && this.peers.send(heir, { type: "handover", ...handover, givers: [...handover.givers] });
    }

    private recordChoice(): void {
        this.metrics.recordChoice();
        this.pressure.recordWork("choice");
    }

    private recordFrame(direction: "sent" | "received", type: string): void {
        this.metrics.recordFrame(direction, type);
        this.pressure.recordWork(`${direction} ${type}`);
    }

    private runHousekeeping(): void {
        this.pressure.check();
        this.cluster.expireLapsed();
        this.peers.expireUnused();
        this.guard.expireOld();
        this.metrics.setSuspects(this.guard.requestCount, this.guard.droppedCount);
        this.accounts.update();
        this.metrics.setConfigurationAge(this.accounts.configurationAgeMs);
        this.owning?.update();
        this.peers.setHub(this.hub.update(this.owning?.engines.hasAny ?? false, readNow()));
        this.sharing.update();
        this.updateIsolation();
    }

    private updateIsolation(): void {
        const quietMs = this.peers.readOthersQuietMs();
        const wasIsolated = this.isolation.isIsolated;
        const signs = {
            hasOthers: quietMs !== undefined,
            othersQuietMs: quietMs ?? 0,
            storeQuietMs: this.owning?.renewalAgeMs ?? 0,
            isMesh: this.peers.isMesh,
        };
        this.isolation.update(signs);
        if (this.isolation.isIsolated !== wasIsolated) {
            this.log.recordImportant(wasIsolated ? "isolationEnded" : "isolated", signs);
        }
    }

    private async runStop(): Promise<void> {
        const stoppedAt = readNow();
        const { graceMs } = this.options.settings;
        this.life.send("stop");
        this.log.recordImportant("stop", { openRequests: this.serving.openCount });
        this.serving.closeAfterAnswers();
        const released = this.owning?.stop() ?? Promise.resolve();
        this.peers.broadcast({ type: "leaving" });
        this.appendMember({ hasLeft: true });
        await Promise.race([released, wait(releaseWaitMs)]);
        await wait(Math.max(0, stoppedAt + balancerNoticeMs - readNow()));
        this.callerServer.close();
        while (this.serving.openCount > 0 && readNow() - stoppedAt < graceMs * graceShare) {
            await wait(20);
        }
        this.log.recordImportant("stopped", { openRequests: this.serving.openCount });
        this.callerServer.closeAllConnections();
        this.readinessServer.close();
        for (const timer of this.timers) {
            clearInterval(timer);
        }
        this.guard.stop();
        this.options.store.stop();
        this.peers.stop();
        this.pool.close();
        this.life.send("done");
    }
}
