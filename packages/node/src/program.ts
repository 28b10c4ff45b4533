import { type EngineStatus, FleetView, RetryBudgets, type Upstream } from "@radishreel/fleet";
import { interpret } from "robot3";
import { AccountGuard } from "./accounts/index.js";
import { BootClock, processTimers, readNow } from "./clock.js";
import { CalledIncarnationCheck, CrashGuard, createQuarantineRoutes } from "./crashes/index.js";
import { DecisionLog } from "./decisions.js";
import { createEdgeGuard, type EdgeGuard } from "./edge/index.js";
import { Housekeeping } from "./housekeeping.js";
import { AnnouncementSharing } from "./knowledge/announcements.js";
import { ChangeReceiver } from "./knowledge/changereceiver.js";
import { ClusterState } from "./knowledge/cluster.js";
import { createOwnEntry, type OwnEntry } from "./knowledge/ownentry.js";
import { ChangeSharing } from "./knowledge/sharing.js";
import { StoreReceiver } from "./knowledge/storereceiver.js";
import { programMachine } from "./lifecycle.js";
import { Coordinators } from "./links/coordinators.js";
import { PeerDispatcher } from "./links/dispatcher.js";
import { createIdentity } from "./links/identity.js";
import { createInitialMessages } from "./links/initial.js";
import type { PeerMessage } from "./links/messages.js";
import { PeerMessenger } from "./links/messenger.js";
import { Peers } from "./links/peers.js";
import { applyEngineStatuses } from "./links/statuses.js";
import { startCallerListener, startReadinessListener } from "./listeners.js";
import { NodeMetrics } from "./metrics.js";
import { defaultAccountBounds, type NodeOptions } from "./options.js";
import { OverloadMonitor } from "./overload.js";
import { createAdmissionSettings } from "./ownership/admission.js";
import { createCandidacyCheck } from "./ownership/candidacy.js";
import { FairShares } from "./ownership/fairshares.js";
import { ShardOwnership } from "./ownership/ownership.js";
import { findCopyRule } from "./ownership/transfers.js";
import { type ProbeResult, Tunnels } from "./paths/index.js";
import type { Member } from "./ports.js";
import { findQuota, Quotas } from "./quotas/index.js";
import { Reception } from "./reception.js";
import { Admissions } from "./requests/admissions.js";
import { ConnectionPool } from "./requests/connectionpool.js";
import { UpstreamLimiter } from "./requests/limiter.js";
import { Serving } from "./requests/serving.js";
import { formatServerAddress, HttpServers, resolveSocketLimits, type SocketLimits } from "./servers.js";
import { findStopTimes, runPlannedStop } from "./stop.js";
import { Streams } from "./streams/index.js";

/** Interval of housekeeping, in milliseconds. */
const housekeepingMs = 250;

/**
 * How long a VM opens no links when all VMs start for the first time, in milliseconds. The VMs start within 0.3 s of
 * each other, and each would link to the first VMs that it reads about. Without links every VM reads the store itself,
 * so the delay must not be longer.
 */
const firstStartLinkDelayMs = 500;

/** The data path and the control path of one VM. */
export class NodeProgram {
    private readonly lifecycle = interpret(programMachine, () => {});
    private readonly log: DecisionLog;
    private readonly metrics = new NodeMetrics();
    private readonly view: FleetView;
    private readonly cluster: ClusterState;
    private readonly announcements: AnnouncementSharing;
    private readonly ownEntry: OwnEntry;
    private readonly coordinators: Coordinators;
    private readonly quotas: Quotas;
    private readonly pool: ConnectionPool;
    private readonly tunnels: Tunnels;
    private readonly crashGuard: CrashGuard;
    private readonly streams: Streams;
    private readonly serving: Serving;
    private readonly peers: Peers;
    private readonly socketLimits: SocketLimits;
    private readonly servers: HttpServers;
    private readonly timers: NodeJS.Timeout[] = [];
    private readonly budgets: RetryBudgets;
    private readonly changeSharing: ChangeSharing;
    private readonly changeReceiver: ChangeReceiver;
    private readonly fairShares: FairShares | undefined;
    private readonly overloadMonitor: OverloadMonitor;
    private readonly admissions: Admissions;
    private readonly messenger: PeerMessenger;
    private readonly bootClock: BootClock;
    private readonly accountGuard: AccountGuard;
    /** Distinguishes this process from other processes of the same VM. */
    private readonly incarnation = Date.now();
    private readonly dispatcher: PeerDispatcher;
    private readonly housekeeping: Housekeeping;
    private readonly edge: EdgeGuard;
    private readonly reception: Reception;
    private ownership: ShardOwnership | undefined;
    private stopping: Promise<void> | undefined;

    constructor(private readonly options: NodeOptions) {
        const { settings, sink } = options;
        this.socketLimits = resolveSocketLimits(settings.maxSockets);
        this.servers = new HttpServers(this.socketLimits);
        this.log = new DecisionLog({ program: "radishreel-node", vm: settings.vm, sink, readTime: readNow });
        this.overloadMonitor = new OverloadMonitor({
            log: this.log,
            readTime: readNow,
            intervalMs: housekeepingMs,
            onLag: ms => this.metrics.recordTimerLag(ms),
        });
        this.budgets = new RetryBudgets({
            ratio: settings.retryRatio,
            slack: settings.retrySlack,
            windowMs: settings.retryWindowMs,
            countVms: () => this.peers.countMembers() + 1,
        });
        this.bootClock = options.bootClock ?? new BootClock();
        this.view = new FleetView({ ...settings, copies: findCopyRule(settings.features) });
        this.tunnels = this.createTunnels();
        this.pool = new ConnectionPool({
            connector: this.tunnels.connector,
            onOpen: () => this.overloadMonitor.recordWork("upstream connection"),
        });
        this.cluster = new ClusterState({
            view: this.view,
            log: this.log,
            readTime: readNow,
            readBoot: () => this.bootClock.read(),
            onChange: () => this.receiveClusterChange(),
            onUpstreamGone: id => this.removeUpstream(id),
            onUpstream: upstream => this.crashGuard.receiveEntry(upstream),
            onVersion: () => this.serving.receiveVersion(),
            onMember: member => this.receiveMember(member),
            onRestored: () => {
                this.metrics.recordRestore();
                this.changeSharing.askPeers();
            },
            entryTimeoutMs: settings.entryTimeoutMs,
        });
        this.announcements = this.createAnnouncementSharing();
        this.ownEntry = createOwnEntry(settings, options.store);
        this.crashGuard = this.createCrashGuard();
        this.quotas = this.createQuotas();
        this.accountGuard = this.createAccountGuard();
        this.messenger = this.createMessenger();
        this.admissions = this.createAdmissions();
        this.streams = this.createStreams();
        this.serving = this.createServing();
        this.peers = this.createPeers();
        this.changeSharing = new ChangeSharing({
            vm: settings.vm,
            dataCentre: settings.dataCentre,
            cluster: this.cluster,
            store: options.store,
            log: this.log,
            readTime: readNow,
            send: (vm, message) => this.peers.send(vm, message),
            broadcast: message => this.peers.broadcast(message),
            sendToDataCentre: message => this.peers.sendToDataCentre(message),
            listLinked: () => this.peers.listConnected(),
            readStoreSilenceMs: () => this.ownership?.renewalAgeMs ?? 0,
            listCrashReports: () => this.crashGuard.listReports(),
            entriesPauseMs: settings.entriesPauseMs,
        });
        this.coordinators = new Coordinators({
            vm: settings.vm,
            view: this.view,
            peers: this.peers,
            isResponsive: vm => this.admissions.isResponsive(vm),
            isStopping: () => this.stopping !== undefined,
        });
        this.changeReceiver = this.createChangeReceiver();
        this.fairShares = this.createFairShares();
        this.dispatcher = this.createDispatcher();
        this.edge = createEdgeGuard(settings, this.log, this.metrics);
        this.housekeeping = this.createHousekeeping();
        this.reception = this.createReception();
    }

    /** `host:port` of the listener for callers; available once the listener has started. */
    get callerAddress(): string {
        return formatServerAddress(this.servers.callers, this.options.settings.callers);
    }

    /** `host:port` of the listener for the load balancer and for operators; available once the listener has started. */
    get readinessAddress(): string {
        return formatServerAddress(this.servers.readiness, this.options.settings.readiness);
    }

    /** Counts the registered upstreams that this VM knows. */
    countUpstreams(): number {
        return this.view.listUpstreams().length;
    }

    /** Lists the names of the registered upstreams that this VM knows. */
    listUpstreams(): string[] {
        return this.view.listUpstreams().map(({ upstream }) => upstream.name);
    }

    /** Counts the upstreams of a service that may get new requests. */
    countUsableUpstreams(service: string): number {
        return this.view.listUsable(service).length;
    }

    /** Counts the software versions at which streams may begin. */
    countStreamVersions(): number {
        return this.streams.claims.count;
    }

    /** Counts the requests that this VM suspects because upstream processes recently ended while running them. */
    countSuspectRequests(): number {
        return this.crashGuard.requestCount;
    }

    /** Number of parts of prompts that this VM refuses. */
    countCondemnedParts(): number {
        return this.crashGuard.condemnedPartCount;
    }

    /** Whether this VM reads the store itself instead of following another VM of its data centre. */
    get isReading(): boolean {
        return this.options.store.isReading;
    }

    /** Counts the VMs with a link to this one. */
    countLinkedVms(): number {
        return this.peers.listConnected().length;
    }

    /** Counts the requests whose response is not complete yet. */
    countOpenRequests(): number {
        return this.serving.openCount;
    }

    /** Whether the load balancer may send callers to this VM. */
    get isReady(): boolean {
        return this.lifecycle.machine.current === "serving" && !this.housekeeping.isIsolated;
    }

    /** @param detail Additional fields of the first log line. */
    async start(detail: object = {}): Promise<void> {
        const { settings, store } = this.options;
        this.log.recordImportant("start", { dataCentre: settings.dataCentre, pid: process.pid, ...detail });
        this.reception.start(this.servers.callers);
        await startCallerListener(this.servers.callers, settings.callers, caller => this.reception.receive(caller));
        await startReadinessListener(this.servers.readiness, settings.readiness, {
            path: settings.readinessPath,
            isReady: () => this.isReady,
            readMetrics: () => this.metrics.registry.metrics(),
            ...createQuarantineRoutes(this.crashGuard),
        });
        await this.tunnels.start();
        await this.peers.start();
        if (settings.isFirstStart === true) {
            this.peers.pauseOpening();
            this.timers.push(setTimeout(() => this.peers.resumeOpening(), firstStartLinkDelayMs));
        }
        this.setSeeds(settings.seeds);
        this.ownership = this.createOwnership();
        store.start(this.createStoreReceiver());
        this.timers.push(setInterval(() => this.housekeeping.run(), housekeepingMs));
        this.streams.start();
    }

    /** Adds the addresses of other VMs, at the start and when the settings change. */
    setSeeds(seeds: readonly string[]): void {
        for (const address of seeds) {
            this.peers.addPeer({ id: undefined, address });
        }
    }

    /** Logs a change of the settings file. */
    recordReload(detail: object): void {
        this.log.recordImportant("reload", detail);
    }

    /** Stops once running requests have finished or the grace time is over. Further calls wait for the same stop. */
    stop(): Promise<void> {
        this.stopping ??= this.runStop();
        return this.stopping;
    }

    /** Counts a call to the store. */
    recordStoreCall(kind: string): void {
        this.metrics.recordStoreCall(kind);
        this.overloadMonitor.recordWork(`store ${kind}`);
    }

    private receiveMembersRead(previous: Member | undefined): void {
        this.budgets.recordMembersRead(readNow());
        if (previous?.generation !== undefined) {
            // VMs that took over the shards of this VM must learn that this VM runs again, so this VM links to all VMs.
            this.peers.setHub(true);
        }
        this.ownership?.start(previous);
        this.streams.claims.receiveMembersRead(previous?.softwareClaims);
    }

    private receiveClusterChange(): void {
        const table = this.cluster.routes;
        if (table === undefined) {
            return;
        }
        this.metrics.setRoutingVersion(table.routing.version);
        this.streams.claims.update();
        this.servers.callerConnections.setLimits(table.routing.limits);
        if (this.lifecycle.machine.current === "starting") {
            this.lifecycle.send("ready");
            this.log.recordImportant("ready", { version: table.routing.version });
        }
        this.ownership?.update();
        this.serving.receiveChange();
    }

    private createChangeReceiver(): ChangeReceiver {
        const { cluster, changeSharing: sharing, crashGuard, log, metrics } = this;
        return new ChangeReceiver({ cluster, sharing, crashGuard, log, metrics, readOwnership: () => this.ownership });
    }

    private createStoreReceiver(): StoreReceiver {
        const { log, metrics, cluster, changeSharing: sharing, accountGuard: accounts, crashGuard, ownEntry } = this;
        return new StoreReceiver({
            log,
            metrics,
            cluster,
            sharing,
            accounts,
            crashGuard,
            ownEntry,
            onChanges: changes => this.changeReceiver.receiveChanges(changes),
            onCrashReports: reports => this.changeReceiver.receiveCrashReports(reports),
            onMembersRead: previous => this.receiveMembersRead(previous),
        });
    }

    private createServing(): Serving {
        const { view, cluster, pool, log, admissions, streams, options: { settings, dialect } } = this;
        return new Serving({
            ...{ view, cluster, dialect, pool, log, admissions, streams },
            dataCentre: settings.dataCentre,
            budgets: service => this.budgets.read(service),
            readTime: readNow,
            readBoot: () => this.bootClock.read(),
            guard: this.crashGuard,
            accounts: this.accountGuard,
            isLinked: vm => vm === settings.vm || this.peers.isConnected(vm),
            sendPreparation: ({ engine, want }) =>
                this.messenger.sendToOwner(engine, { type: "prepare", engine, want }),
            sendMissing: (engine, key) => this.messenger.sendToOwner(engine, { type: "missing", engine, key }),
            limiter: new UpstreamLimiter({
                limits: view.limits,
                quotas: this.quotas,
                readTime: readNow,
                readBoot: () => this.bootClock.read(),
                onVerdict: verdict => this.metrics.recordLimitVerdict(verdict),
            }),
            onMetadata: (upstream, metadata, statementsAtWrite) =>
                this.announcements.recordResponse(upstream, metadata, statementsAtWrite),
            onRefusal: (reason, isCut) => this.metrics.recordRefusal(reason, isCut),
            onSilence: outcome => this.metrics.recordSilence(outcome),
            onRetry: after => this.metrics.recordRetry(after),
            onRetryClaim: (service, isGranted) => this.metrics.recordRetryClaim(service, isGranted),
            onChoice: () => this.recordChoice(),
            onRedirect: () => this.metrics.recordRedirect(),
            readLag: () => this.overloadMonitor.readLag(),
            startWaitMs: settings.startWaitMs,
        });
    }

    private createAdmissions(): Admissions {
        return new Admissions({
            readTime: readNow,
            hasReturns: this.options.settings.features?.hasEngineScheduling,
            send: (vm, message) => this.messenger.sendAdmission(vm, message),
        });
    }

    private createStreams(): Streams {
        return new Streams({
            vm: this.options.settings.vm,
            view: this.view,
            store: this.options.store,
            log: this.log,
            readTime: readNow,
            timers: processTimers,
            cluster: this.cluster,
            coordinators: () => this.coordinators,
            peers: () => this.peers,
            ownEntry: this.ownEntry,
            onResolved: origin => this.metrics.recordResumption(origin),
            onChange: () => this.serving.receiveChange(),
        });
    }

    private createHousekeeping(): Housekeeping {
        const { log, metrics, view, cluster, peers, changeSharing, crashGuard, accountGuard, quotas, streams } = this;
        const parts = { log, metrics, view, cluster, peers, changeSharing, crashGuard, accountGuard, quotas, streams };
        const { overloadMonitor, edge, fairShares } = this;
        const others = { overloadMonitor, edge, fairShares };
        return new Housekeeping({ ...parts, ...others, readTime: readNow, readOwnership: () => this.ownership });
    }

    private createReception(): Reception {
        const { cluster, edge, serving, overloadMonitor, options: { dialect } } = this;
        const parts = { cluster, dialect, edge, serving, overloadMonitor };
        const { callerConnections: http } = this.servers;
        return new Reception({ ...parts, http, readTime: readNow, isIsolated: () => this.housekeeping.isIsolated });
    }

    private createTunnels(): Tunnels {
        const { settings, openSocket } = this.options;
        return new Tunnels({
            dataCentre: settings.dataCentre,
            address: settings.tunnels,
            maxConnections: this.socketLimits.tunnels,
            secret: settings.secret,
            view: this.view,
            peers: () => this.peers,
            log: this.log,
            readTime: readNow,
            openSocket,
            onOutcome: outcome => this.metrics.recordConnection(outcome),
        });
    }

    private createCrashGuard(): CrashGuard {
        const { view, log, pool, incarnation, options: { settings: { vm }, store, dialect } } = this;
        const readTime = readNow;
        const probe = (upstream: Upstream): Promise<ProbeResult> => this.tunnels.checkListening(upstream);
        return new CrashGuard({
            ...{ vm, incarnation, view, store, log, readTime, probe },
            incarnations: new CalledIncarnationCheck({ pool, dialect, readTime, probe }),
            send: (vm, message) => this.messenger.send(vm, message),
            broadcast: message => this.peers.broadcast(message),
            listPermitIssuers: () => this.coordinators.list(),
            onChange: () => this.serving.receiveVerdicts(),
            onUpstreamEnd: service => this.metrics.recordUpstreamEnd(service),
        });
    }

    private createAccountGuard(): AccountGuard {
        return new AccountGuard({
            bounds: this.options.settings.accounts ?? defaultAccountBounds,
            cluster: this.cluster,
            readBoot: () => this.bootClock.read(),
            isReading: () => this.options.store.isReading,
            listConfirmers: () => this.changeSharing.listConfirmers(),
            quotas: this.quotas,
            send: (vm, message) => this.peers.send(vm, message),
            onVerdict: (account, verdict) => this.metrics.recordAccountRequest(account, verdict),
        });
    }

    private createQuotas(): Quotas {
        const { settings } = this.options;
        return new Quotas({
            vm: settings.vm,
            bounds: (settings.accounts ?? defaultAccountBounds).quota,
            readBoot: () => this.bootClock.read(),
            timers: processTimers,
            listCandidates: () => this.coordinators.listForQuotas(),
            countVms: () => this.peers.countMembers() + 1,
            isNeeded: () => this.accountGuard.hasQuotas || this.view.limits.count > 0,
            findLimit: key => findQuota(key, this.accountGuard, this.view.limits),
            send: (vm, message) => this.peers.send(vm, message),
        });
    }

    private createAnnouncementSharing(): AnnouncementSharing {
        return new AnnouncementSharing({
            view: this.view,
            log: this.log,
            readTime: readNow,
            broadcast: message => this.peers.broadcast(message),
            isForwarding: () => this.peers.isMesh || this.options.store.isReading,
            onChange: () => {
                this.quotas.update();
                this.receiveClusterChange();
            },
            onBackoff: () => this.metrics.recordBackoff(),
            onUnreadableLimit: () => this.metrics.recordUnreadableLimit(),
        });
    }

    private createPeers(): Peers {
        const { settings } = this.options;
        return new Peers({
            self: createIdentity(settings, this.incarnation),
            secret: settings.secret,
            host: settings.peers.host,
            port: settings.peers.port,
            maxLinks: this.socketLimits.peers,
            log: this.log,
            readTime: readNow,
            onFrame: (direction, type) => this.recordFrame(direction, type),
            onBytes: (direction, count) => this.metrics.recordBytes(direction, count),
            createInitialMessages: vm => this.createInitialMessages(vm),
            onMessage: (vm, message) => this.receivePeerMessage(vm, message),
            onStart: () => this.ownership?.receiveStart(),
            onClose: vm => this.receivePeerClose(vm),
        });
    }

    private createMessenger(): PeerMessenger {
        return new PeerMessenger({
            vm: this.options.settings.vm,
            view: this.view,
            peers: () => this.peers,
            admissions: () => this.admissions,
            readOwnership: () => this.ownership,
            onOwnMessage: message => this.receivePeerMessage(this.options.settings.vm, message),
        });
    }

    private createDispatcher(): PeerDispatcher {
        return new PeerDispatcher({
            peers: this.peers,
            sharing: this.changeSharing,
            announcements: this.announcements,
            guard: this.crashGuard,
            accounts: this.accountGuard,
            quotas: this.quotas,
            streams: this.streams.directory,
            admissions: this.admissions,
            readOwnership: () => this.ownership,
            fairShares: this.fairShares,
            onChanges: (vm, changes) => this.changeReceiver.receiveChanges(changes, vm),
            onCrashReports: reports => this.changeReceiver.receiveCrashReports(reports),
            onStatuses: (vm, statuses) => this.receiveEngineStatuses(vm, statuses),
            onLeaving: vm => this.removePeer(vm),
        });
    }

    private createFairShares(): FairShares | undefined {
        const { vm, features } = this.options.settings;
        return features?.hasFairShares !== true ? undefined : new FairShares({
            vm,
            view: this.view,
            log: this.log,
            readTime: readNow,
            countWaiting: () => this.ownership?.engines.waitingCount ?? 0,
            sendToAll: (vms, message) => this.peers.sendToAll(vms, message),
            registry: this.metrics.registry,
        });
    }

    private createOwnership(): ShardOwnership {
        const { settings, shardAssigner, orders } = this.options;
        return new ShardOwnership({
            vm: settings.vm,
            view: this.view,
            shardAssigner,
            orders,
            log: this.log,
            readTime: readNow,
            holderGapMs: settings.holderGapMs,
            ...createAdmissionSettings(settings.features, this.metrics.registry),
            findService: name => this.cluster.routes?.findService(name),
            sendStatuses: statuses => this.sendEngineStatuses(statuses),
            sendToOwners: statuses => this.messenger.sendToOwners(statuses),
            sendReply: (vm, reply) => this.messenger.sendReply(vm, reply),
            onLeaving: engine => this.announcements.recordResponse(engine, { isLeaving: true }),
            sendRelease: release => this.peers.broadcast({ type: "release", ...release }),
            sendQuery: query => this.peers.broadcast({ type: "claimQuery", ...query, givers: [...query.givers] }),
            incarnation: this.incarnation,
            isFirstStart: settings.isFirstStart,
            bootClock: this.bootClock,
            readIncarnation: vm => this.peers.findIncarnation(vm),
            sendHandover: handover => this.messenger.sendHandover(handover),
            ledger: this.fairShares?.ledger,
            countOthers: () => this.peers.countMembers(),
            recordGeneration: (generation, fences) => this.ownEntry.append({ generation, fences }),
            onLeaseEvent: event => this.metrics.recordLeaseEvent(event),
            isCandidate: createCandidacyCheck(settings, this.view, () => this.peers),
            transfers: settings.features?.hasTransferBudget ? { registry: this.metrics.registry } : undefined,
        });
    }

    private receiveMember(member: Member): void {
        if (member.id === this.options.settings.vm) {
            this.ownEntry.receiveEntry(member);
            return;
        }
        this.peers.addPeer(member);
    }

    private createInitialMessages(vm: string): PeerMessage[] {
        this.overloadMonitor.recordWork("link opened");
        return createInitialMessages(vm, {
            view: this.view,
            sharing: this.changeSharing,
            announcements: this.announcements,
            guard: this.crashGuard,
            streams: this.streams.directory,
            admissions: this.admissions,
            engineStatuses: this.ownership?.engines.listStatuses() ?? [],
            isStopping: this.stopping !== undefined,
        });
    }

    private receivePeerMessage(vm: string, message: PeerMessage): void {
        this.admissions.recordContact(vm);
        this.dispatcher.dispatch(vm, message);
    }

    private receiveEngineStatuses(vm: string, statuses: readonly EngineStatus[]): void {
        applyEngineStatuses({ vm, statuses, view: this.view, admissions: this.admissions, now: readNow() });
        this.serving.receiveEngineStatus();
    }

    private receivePeerClose(vm: string): void {
        this.overloadMonitor.recordWork("link lost");
        this.quotas.removeVm(vm);
        this.removePeer(vm);
    }

    private removeUpstream(id: string): void {
        this.tunnels.removeUpstream(id);
        this.serving.removeUpstream(id);
    }

    /** Removes a VM that is gone or stopping. A stopping VM still claims quotas for its remaining requests. */
    private removePeer(vm: string): void {
        this.quotas.update();
        this.pool.removeVm(vm);
        this.tunnels.removeVm(vm);
        this.changeSharing.removeVm(vm);
        this.view.removeVm(vm);
        this.admissions.removeOwner(vm);
        this.crashGuard.removeVm(vm);
        this.streams.directory.removeVm(vm);
        this.serving.receiveChange();
    }

    private sendEngineStatuses(statuses: EngineStatus[]): void {
        this.receiveEngineStatuses(this.options.settings.vm, statuses);
        this.peers.broadcast({ type: "news", news: statuses });
    }

    private recordChoice(): void {
        this.metrics.recordChoice();
        this.overloadMonitor.recordWork("choice");
    }

    private recordFrame(direction: "sent" | "received", type: string): void {
        this.metrics.recordFrame(direction, type);
        this.overloadMonitor.recordWork(`${direction} ${type}`);
    }

    private async runStop(): Promise<void> {
        const { peers, serving, ownEntry, ownership, servers, options, reception, tunnels } = this;
        const times = findStopTimes(readNow(), options.settings.graceMs);
        this.lifecycle.send("stop");
        reception.stop(times);
        await runPlannedStop({
            times,
            log: this.log,
            readTime: readNow,
            peers,
            serving,
            ownEntry,
            ownership,
            callerServer: servers.callers,
            reception,
            tunnels,
        });
        servers.readiness.close();
        this.timers.forEach(timer => clearInterval(timer));
        this.crashGuard.stop();
        this.streams.stop();
        options.store.stop();
        peers.stop();
        this.pool.close();
        this.tunnels.stop();
        this.lifecycle.send("done");
    }
}
