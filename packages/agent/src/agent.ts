import { HttpLogClient, HttpVmListClient } from "@radishreel/log";
import { findOwner } from "@radishreel/membership";
import { type Message, type MessageOf, OfferingsSync, type OutgoingMessage } from "@radishreel/protocol";
import { AgentMetrics, type Logger, startMetricsServer } from "@radishreel/telemetry";
import { HttpOrderClient } from "@radishreel/upstreams";
import { formatIncarnation, type NodeIdentity } from "@radishreel/wire";
import type { Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createMachine, interpret, state, transition } from "robot3";
import { applyEverywhere } from "./applying.js";
import { ConfigurationTask } from "./configuration.js";
import { Explainer } from "./explaining.js";
import { HeirTable } from "./heirs.js";
import { type AgentStatus, OperatorListener } from "./operators.js";
import { OwnerTask } from "./owning.js";
import { type PeerLink, PeerTask } from "./peers.js";
import { PlacerTask } from "./placing.js";
import { ProgressTable } from "./progress.js";
import type { AgentSettings } from "./settings.js";
import { UpstreamTask } from "./upstreams.js";

/** Addresses on which an agent listens, each as `host:port`. */
export interface AgentAddresses {
    readonly peers: string;
    readonly operators: string;
    readonly metrics: string;
}

/** Lifecycle of an agent. */
const agentMachine = createMachine("running", {
    running: state(transition("stop", "stopping")),
    stopping: state(transition("stopped", "stopped")),
    stopped: state(),
});

/** Delay before changed progress is sent, in milliseconds, so that changes in quick succession are batched. */
const progressDelayMs = 100;

/** Time between the `bye` messages of a stopping agent and the end of its links, in milliseconds. */
const byeDelayMs = 100;

/** Keys by which rendezvous hashing chooses the placer and the writer of snapshots among the agents. */
const placerKey = "placer";
const snapshotKey = "snapshot";

/** One agent: connects the tasks and passes messages between them. */
export class Agent {
    private readonly lifecycle = interpret(agentMachine, () => {});
    private readonly metrics = new AgentMetrics();
    private readonly incarnation = Date.now();
    private readonly configuration: ConfigurationTask;
    private readonly peers: PeerTask;
    private readonly upstreams: UpstreamTask;
    private readonly owner: OwnerTask;
    private readonly placer: PlacerTask;
    private readonly progress: ProgressTable;
    private readonly operators: OperatorListener;
    private readonly syncs = new Map<PeerLink, OfferingsSync>();
    private readonly heirs = new HeirTable();
    /** Owner of each engine: the agent that last sent a summary of it. */
    private readonly engineOwners = new Map<string, string>();
    private readonly explainer: Explainer;
    private peersAddress = "";
    private metricsServer: Server | undefined;
    private progressTimer: NodeJS.Timeout | undefined;
    private stopping: Promise<void> | undefined;

    constructor(private readonly settings: AgentSettings, private readonly logger: Logger) {
        this.progress = new ProgressTable(settings.dataCentre);
        this.configuration = this.createConfiguration();
        this.peers = this.createPeers();
        const orders = new HttpOrderClient({ loadTimeoutMs: settings.loadTimeoutMs });
        this.upstreams = this.createUpstreams(orders);
        this.owner = this.createOwner(orders);
        this.placer = this.createPlacer();
        this.explainer = new Explainer({
            selfId: settings.id,
            readOfferings: () => this.configuration.fold.offerings,
            readPlacerId: () => this.placerId,
            explainLocally: model => this.placer.explain(model),
            sendToAgent: (id, message) => this.peers.sendToAgent(id, message),
        });
        this.operators = this.createOperators();
    }

    async start(): Promise<AgentAddresses> {
        const { settings } = this;
        // The address is known once the listener is open; each link that is opened later reads it with the identity.
        const port = await this.peers.start();
        this.peersAddress = `${settings.peers.host}:${port}`;
        this.progress.setNode(settings.id, this.configuration.fold.version);
        this.configuration.start();
        this.upstreams.start();
        this.owner.start();
        this.placer.start();
        this.updateMembership();
        const operators = await this.operators.start();
        const metrics = await startMetricsServer({
            ...settings.metrics,
            registry: this.metrics.registry,
            isReady: () => this.lifecycle.machine.current === "running" && this.configuration.fold.isKnown,
        });
        this.metricsServer = metrics.server;
        const addresses = {
            peers: this.peersAddress,
            operators: `${settings.operators.host}:${operators}`,
            metrics: `${settings.metrics.host}:${metrics.port}`,
        };
        this.logger.info("listening", addresses);
        return addresses;
    }

    /** Performs a planned stop: other agents own the engines at once. A second call waits for the same stop. */
    stop(): Promise<void> {
        this.stopping ??= this.runStop();
        return this.stopping;
    }

    private async runStop(): Promise<void> {
        this.lifecycle.send("stop");
        this.logger.info("stopping");
        this.placer.stop();
        this.owner.stop();
        this.upstreams.stop();
        this.peers.broadcast([...this.peers.listAgentLinks(), ...this.peers.listGatewayLinks()], { type: "bye" });
        await this.operators.stop();
        await sleep(byeDelayMs);
        this.configuration.stop();
        this.peers.stop();
        this.metricsServer?.close();
        clearTimeout(this.progressTimer);
        this.lifecycle.send("stopped");
        this.logger.info("stopped");
    }

    private get identity(): NodeIdentity {
        const { id, dataCentre } = this.settings;
        return { id, role: "agent", dataCentre, incarnation: this.incarnation, address: this.peersAddress };
    }

    // Wiring.

    private createConfiguration(): ConfigurationTask {
        const { settings, metrics, logger } = this;
        return new ConfigurationTask({
            log: new HttpLogClient({ address: settings.log, timeoutMs: settings.platformTimeoutMs }),
            logWaitMs: settings.logWaitMs,
            snapshotMs: settings.snapshotMs,
            metrics,
            logger,
            onChange: () => this.receiveOfferings(),
            isSnapshotWriter: () => findOwner(snapshotKey, this.peers.listAgentIds()) === settings.id,
        });
    }

    private createPeers(): PeerTask {
        const { settings, metrics, logger } = this;
        return new PeerTask({
            settings,
            self: () => this.identity,
            metrics,
            logger,
            events: {
                onMembership: () => this.updateMembership(),
                onOpen: link => this.receiveOpen(link),
                onMessage: (link, message) => this.receive(link, message),
                onClose: link => this.receiveClose(link),
            },
        });
    }

    private createUpstreams(orders: HttpOrderClient): UpstreamTask {
        const { settings, logger } = this;
        return new UpstreamTask({
            settings,
            vmList: new HttpVmListClient({ address: settings.vmList, timeoutMs: settings.platformTimeoutMs }),
            orders,
            logger,
            listAgentIds: () => this.peers.listAgentIds(),
            onEntryVms: vms => this.peers.setEntryVms(vms),
            onChange: () => this.updateMembership(),
            onLeaving: (upstreamId, instance) => {
                const message: OutgoingMessage = { type: "leaving", upstreamId, instance };
                this.peers.broadcast(this.listLocalAgentLinks(), message);
            },
        });
    }

    private createOwner(orders: HttpOrderClient): OwnerTask {
        const { settings, metrics, logger } = this;
        return new OwnerTask({
            settings,
            identity: formatIncarnation(this.identity),
            orders,
            metrics,
            logger,
            listAgentIds: () => this.peers.listAgentIds(),
            listEngines: () => this.upstreams.listEngines(),
            listGatewayLinks: () => this.peers.listGatewayLinks(),
            onSummaries: engines =>
                this.sendToPlacer({ type: "engines", engines: [...engines] as MessageOf<"engines">["engines"] }),
            onLoadEnded: (engineId, model, outcome) =>
                this.sendToPlacer({ type: "loadEnded", engineId, model, outcome }),
            onStatus: (engineId, instance, engineState) =>
                this.upstreams.receiveStatus(engineId, instance, engineState),
        });
    }

    private createPlacer(): PlacerTask {
        return new PlacerTask({
            dataCentre: this.settings.dataCentre,
            loadTimeoutMs: this.settings.loadTimeoutMs,
            sendOrder: order => this.sendOrder(order),
            sendToGateways: message => this.peers.broadcast(this.peers.listGatewayLinks(), message),
            sendToAgents: message => this.peers.broadcast(this.listLocalAgentLinks(), message),
            sendShare: message => this.peers.broadcast(this.peers.listAgentLinks(), message),
        });
    }

    private createOperators(): OperatorListener {
        const { settings, logger, configuration, upstreams } = this;
        return new OperatorListener({
            ...settings.operators,
            maxConnections: settings.maxConnections,
            keyDigests: settings.operatorKeyDigests,
            logger,
            actions: {
                readStatus: () => this.readStatus(),
                readOfferings: () => {
                    const { version, offerings } = configuration.fold;
                    return { version, digest: offerings.digest, offerings: offerings.readOfferings() };
                },
                apply: request =>
                    applyEverywhere(request, {
                        configuration,
                        progress: this.progress,
                        listDataCentres: () => upstreams.listDataCentres(),
                        waitMs: settings.applyWaitMs,
                    }),
                explain: model => this.explainer.explain(model),
                drainUpstream: upstreamId => upstreams.receiveLeaving(upstreamId, undefined),
            },
        });
    }

    // Membership.

    private listLocalAgentLinks(): PeerLink[] {
        return this.peers.listAgentLinks().filter(link => link.peer.dataCentre === this.settings.dataCentre);
    }

    private listRemoteAgentLinks(): PeerLink[] {
        return this.peers.listAgentLinks().filter(link => link.peer.dataCentre !== this.settings.dataCentre);
    }

    /** Applies a change of the agents, gateways or upstreams of the data centre. */
    private updateMembership(): void {
        this.owner.updateOwnership();
        this.updatePlacer();
        this.placer.setPolicy(this.configuration.fold.offerings.policy, this.upstreams.listDataCentres());
        const gateways = this.peers.listGatewayLinks();
        this.peers.broadcast(gateways, { type: "services", upstreams: this.upstreams.listOwnServices() });
        this.peers.broadcast(gateways, { type: "agents", addresses: this.peers.listAgentAddresses() });
        this.peers.broadcast(gateways, {
            type: "gateways",
            gateways: gateways.map(({ peer }) => ({ issuer: formatIncarnation(peer), address: peer.address })),
        });
    }

    private get placerId(): string | undefined {
        return findOwner(placerKey, this.peers.listAgentIds());
    }

    private updatePlacer(): void {
        const knownEngineIds = new Set(this.upstreams.listEngines().map(engine => engine.id));
        for (const engineId of this.engineOwners.keys()) {
            if (!knownEngineIds.has(engineId)) {
                this.engineOwners.delete(engineId);
                this.placer.removeEngine(engineId);
            }
        }
        if (this.placer.setActive(this.placerId === this.settings.id)) {
            this.logger.info(this.placer.isActive ? "is placer" : "is no longer placer");
        }
        this.sendSummaries();
    }

    private sendSummaries(): void {
        const engines = this.owner.listSummaries() as MessageOf<"engines">["engines"];
        this.sendToPlacer({ type: "engines", engines });
    }

    private sendToPlacer(message: MessageOf<"engines" | "loadEnded" | "demand">): void {
        const { placerId } = this;
        if (placerId === this.settings.id) {
            this.receiveForPlacer(this.settings.id, message);
            return;
        }
        if (placerId !== undefined) {
            this.peers.sendToAgent(placerId, message);
        }
    }

    private receiveForPlacer(from: string, message: MessageOf<"engines" | "loadEnded" | "demand">): void {
        switch (message.type) {
            case "engines":
                message.engines.forEach(engine => this.setEngineOwner(engine.id, from));
                this.placer.receiveSummaries(message.engines);
                return;
            case "loadEnded":
                this.placer.receiveLoadEnded(message.engineId, message.model, message.outcome);
                return;
            case "demand":
                this.placer.receiveDemand(message);
        }
    }

    private setEngineOwner(engineId: string, owner: string): void {
        const previousOwner = this.engineOwners.get(engineId);
        this.engineOwners.set(engineId, owner);
        if (previousOwner !== owner) {
            this.placer.removeOrders(engineId);
        }
    }

    /** Drops the open orders for engines of `owner`: without an open link, orders and their outcomes may be lost. */
    private removeOrders(owner: string): void {
        for (const [engineId, other] of this.engineOwners) {
            if (other === owner) {
                this.placer.removeOrders(engineId);
            }
        }
    }

    private sendOrder(order: MessageOf<"order">): void {
        const owner = this.engineOwners.get(order.engineId);
        if (owner === this.settings.id) {
            // Deferred, so that the order does not run inside the decision that issued it.
            setImmediate(() => this.owner.receiveOrder(order));
            return;
        }
        const isSent = owner !== undefined && this.peers.sendToAgent(owner, order);
        if (!isSent && order.action === "load") {
            setImmediate(() => this.placer.receiveLoadEnded(order.engineId, order.model, "refused"));
        }
    }

    // Messages.

    private receiveOpen(link: PeerLink): void {
        const sync = new OfferingsSync(this.configuration.fold);
        this.syncs.set(link, sync);
        link.send(sync.createHave());
        const heirs = this.heirs.list(Date.now());
        if (heirs.length > 0) {
            link.send({ type: "heirs", heirs });
        }
        if (link.peer.role === "agent") {
            this.progress.list().forEach(progress => link.send(progress));
            this.removeOrders(link.peer.id);
        }
    }

    private receiveClose(link: PeerLink): void {
        this.syncs.delete(link);
        this.progress.removeNode(link.peer.id);
        if (link.peer.role === "gateway") {
            this.owner.removeGateway(link);
            this.placer.removeGateway(formatIncarnation(link.peer));
        }
        else {
            this.removeOrders(link.peer.id);
        }
        this.scheduleProgress();
    }

    private receive(link: PeerLink, message: Message): void {
        switch (message.type) {
            case "renew":
                this.owner.receiveRenewal(link, message);
                this.receiveNodeVersion(link, message.offeringsVersion);
                return;
            case "demand":
                this.receiveDemand(link, message);
                return;
            case "engines":
            case "loadEnded":
                this.receiveForPlacer(link.peer.id, message);
                return;
            case "askState":
                this.receiveAskState(link);
                return;
            case "order":
                this.owner.receiveOrder(message);
                return;
            case "leaving":
                this.upstreams.receiveLeaving(message.upstreamId, message.instance);
                return;
            case "have":
            case "want":
            case "changes":
            case "wholePart":
                this.receiveSync(link, message);
                return;
            case "storeShare":
                this.placer.receiveShare(message);
                this.forward(link, message);
                return;
            case "progress":
                this.progress.receive(message);
                this.forward(link, message);
                return;
            case "heirs":
                this.receiveHeirs(link, message.heirs);
                return;
            case "explain":
                link.send({
                    type: "explained",
                    requestId: message.requestId,
                    explanation: this.placer.explain(message.model),
                });
                return;
            case "explained":
                this.explainer.receive(message);
                return;
            case "bye":
                link.close("peerClosed");
                return;
            default:
                this.metrics.frames.inc({ event: "unexpectedMessage" });
        }
    }

    /** Applies demand, or forwards it once: a gateway may see a different agent as the placer than the agents do. */
    private receiveDemand(link: PeerLink, message: MessageOf<"demand">): void {
        if (this.placer.isActive) {
            this.receiveForPlacer(link.peer.id, message);
            return;
        }
        if (link.peer.role === "gateway") {
            this.sendToPlacer(message);
        }
    }

    /**
     * Sends the summaries to the placer that asked for them. An agent that this agent does not yet see as the placer
     * gets them when this agent detects the change.
     */
    private receiveAskState(link: PeerLink): void {
        if (link.peer.id === this.placerId) {
            this.sendSummaries();
        }
    }

    /** Forwards summaries: they cross between data centres on a few links and reach every agent in two steps. */
    private forward(link: PeerLink, message: MessageOf<"storeShare" | "progress">): void {
        const isFromOwnDataCentre = link.peer.dataCentre === this.settings.dataCentre;
        if (message.dataCentre === this.settings.dataCentre) {
            if (isFromOwnDataCentre) {
                this.peers.broadcast(this.listRemoteAgentLinks(), message);
            }
            return;
        }
        if (!isFromOwnDataCentre) {
            this.peers.broadcast(this.listLocalAgentLinks(), message);
        }
    }

    private receiveHeirs(link: PeerLink, heirs: MessageOf<"heirs">["heirs"]): void {
        const newHeirs = this.heirs.receive(heirs, Date.now());
        if (newHeirs.length === 0) {
            return;
        }
        const others = [...this.peers.listAgentLinks(), ...this.peers.listGatewayLinks()].filter(other =>
            other !== link
        );
        this.peers.broadcast(others, { type: "heirs", heirs: newHeirs });
    }

    // Offerings.

    private receiveSync(link: PeerLink, message: MessageOf<"have" | "want" | "changes" | "wholePart">): void {
        const sync = this.syncs.get(link);
        if (sync === undefined) {
            return;
        }
        switch (message.type) {
            case "have": {
                this.receiveNodeVersion(link, message.version);
                const want = sync.receiveHave(message);
                if (want !== undefined) {
                    link.send(want);
                }
                return;
            }
            case "want":
                sync.receiveWant(message).forEach(reply => link.send(reply));
                return;
            case "changes":
                this.receivePeerChange(sync.receiveChanges(message));
                return;
            case "wholePart":
                this.receivePeerChange(sync.receivePart(message));
        }
    }

    private receivePeerChange(changed: boolean): void {
        if (changed) {
            this.configuration.recordPeerChange();
        }
    }

    private receiveOfferings(): void {
        for (const [link, sync] of this.syncs) {
            link.send(sync.createHave());
        }
        this.progress.setNode(this.settings.id, this.configuration.fold.version);
        this.scheduleProgress();
        this.placer.setPolicy(this.configuration.fold.offerings.policy, this.upstreams.listDataCentres());
    }

    private receiveNodeVersion(link: PeerLink, version: number): void {
        if (link.peer.dataCentre === this.settings.dataCentre) {
            this.progress.setNode(link.peer.id, version);
            this.scheduleProgress();
        }
    }

    private lastSentProgress = "";

    private scheduleProgress(): void {
        this.progressTimer ??= setTimeout(() => {
            this.progressTimer = undefined;
            const progress = this.progress.readOwn();
            const text = JSON.stringify(progress);
            if (text !== this.lastSentProgress) {
                this.lastSentProgress = text;
                this.peers.broadcast(this.listRemoteAgentLinks(), progress);
            }
        }, progressDelayMs);
    }

    // Operators.

    private readStatus(): AgentStatus {
        const { fold } = this.configuration;
        return {
            id: this.settings.id,
            dataCentre: this.settings.dataCentre,
            version: fold.version,
            isKnown: fold.isKnown,
            hasGap: fold.hasGap,
            isLogReachable: this.configuration.isLogReachable,
            placer: this.placerId,
            agents: this.peers.listAgentIds(),
            gateways: this.peers.listGatewayLinks().map(link => link.peer.id),
            ownedEngines: this.owner.listSummaries(),
            progress: this.progress.list(),
        };
    }
}
