import { findOwner } from "@radishreel/membership";
import type { OfferingsFold } from "@radishreel/offerings";
import {
    type Message,
    type MessageOf,
    messageSchema,
    OfferingsSync,
    type OutgoingMessage,
    type ServiceUpstream,
} from "@radishreel/protocol";
import type { GatewayMetrics, Logger } from "@radishreel/telemetry";
import {
    type CloseReason,
    formatIncarnation,
    type Link,
    LinkClient,
    type NodeIdentity,
    resolveLinkLimits,
} from "@radishreel/wire";
import { type Instant, readInstant } from "./clock.js";
import { LeaseHolder } from "./leases.js";
import type { GatewaySettings } from "./settings.js";
import { UseCounter } from "./uses.js";

/** Events that the control task reports to the gateway. */
export interface ControlEvents {
    /** Leases or request counts of engines may have changed. */
    onEngines(): void;
    onServices(upstreams: readonly ServiceUpstream[]): void;
    onOutlook(outlook: MessageOf<"outlook">): void;
    onOfferings(): void;
    /** Another agent became the placer, or has just learnt that it is: the whole demand must be sent to it. */
    onPlacerChange(): void;
    onHeirs(heirs: MessageOf<"heirs">["heirs"]): void;
}

/** Options of {@link ControlTask}. */
export interface ControlOptions {
    readonly settings: GatewaySettings;
    readonly self: () => NodeIdentity;
    readonly fold: OfferingsFold;
    readonly metrics: GatewayMetrics;
    readonly logger: Logger;
    readonly events: ControlEvents;
}

interface AgentPeer {
    readonly link: AgentLink;
    readonly sync: OfferingsSync;
    /** Renewals that the agent has not acknowledged yet, oldest first. */
    readonly renewals: { sequence: number; sentAt: Instant; inFlight: ReadonlyMap<string, InFlight>; }[];
    /** Sequence of the last renewal that the agent has acknowledged with a grant. */
    acknowledgedSequence: number;
    /** Addresses of the agents that this agent knows. */
    knownAgents: readonly string[];
    /** This gateway's requests per engine in the last acknowledged renewal: those that the agent's counts include. */
    reportedInFlight: ReadonlyMap<string, InFlight>;
}

/** Number of requests per account class. */
interface InFlight {
    readonly paying: number;
    readonly trial: number;
}

const noneInFlight: InFlight = { paying: 0, trial: 0 };

type AgentLink = Link<Message, OutgoingMessage>;

/** Maximum number of unacknowledged renewals that are stored per agent. */
const maxPendingRenewals = 64;

const placerKey = "placer";

/** Time for which the services reported by a disconnected agent are kept, in milliseconds. */
const disconnectedAgentMs = 15_000;

/** Manages the gateway's links to the agents of its data centre: leases, demand, configuration, services. */
export class ControlTask {
    readonly leases = new LeaseHolder();
    readonly uses = new UseCounter();
    private readonly clients = new Map<string, LinkClient<Message, OutgoingMessage>>();
    private readonly peers = new Map<string, AgentPeer>();
    private readonly services = new Map<
        string,
        { upstreams: readonly ServiceUpstream[]; disconnectedAt: number | undefined; }
    >();
    private readonly otherInFlight = new Map<string, InFlight>();
    private otherGateways: MessageOf<"gateways">["gateways"] = [];
    private sequence = 0;
    private placer: string | undefined;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: ControlOptions) {}

    start(): void {
        for (const address of this.options.settings.agents) {
            this.openAgent(address);
        }
        this.timer = setInterval(() => this.renewAll(), this.options.settings.renewMs);
    }

    stop(): void {
        clearInterval(this.timer);
        for (const client of this.clients.values()) {
            client.stop();
        }
    }

    /** Sends demand to the placer. Returns false if it was not sent, so that the demand does not count as reported. */
    sendDemand(changes: MessageOf<"demand">["changes"]): boolean {
        const peer = this.placer === undefined ? undefined : this.peers.get(this.placer);
        if (peer === undefined || !peer.link.isOpen) {
            return false;
        }
        const gateway = formatIncarnation(this.options.self());
        return peer.link.send({
            type: "demand",
            gateway,
            changes: changes.map(createSparseDemand),
        });
    }

    get hasPlacer(): boolean {
        return this.placer !== undefined;
    }

    /** Returns how many requests other gateways have on an engine, as its owner last reported. */
    readOtherInFlight(engineId: string): InFlight {
        return this.otherInFlight.get(engineId) ?? noneInFlight;
    }

    /** Renews at once after the last use of a model ended, for an owner that may be waiting for its release. */
    renewAfterRelease(): void {
        this.renewAll();
    }

    /** Sequence of the next renewal. */
    get nextSequence(): number {
        return this.sequence + 1;
    }

    /** Reports to all agents that an upstream is leaving. */
    sendLeaving(upstreamId: string): void {
        this.broadcast({ type: "leaving", upstreamId });
    }

    sendHeirs(heirs: MessageOf<"heirs">["heirs"]): void {
        this.broadcast({ type: "heirs", heirs });
    }

    /** Lists the other gateways of the data centre, for a handover. */
    listOtherGateways(): MessageOf<"gateways">["gateways"] {
        return this.otherGateways;
    }

    private broadcast(message: OutgoingMessage): void {
        for (const peer of this.peers.values()) {
            peer.link.send(message);
        }
    }

    // Links.

    private openAgent(address: string): void {
        if (this.clients.has(address)) {
            return;
        }
        const { settings, self } = this.options;
        const client = new LinkClient<Message, OutgoingMessage>({
            address,
            self,
            secret: settings.secret,
            schema: messageSchema,
            limits: resolveLinkLimits({ heartbeatMs: settings.heartbeatMs, silenceMs: settings.peerSilenceMs }),
            events: {
                onOpen: link => this.receiveOpen(link),
                onMessage: (link, message) => this.receive(link, message),
                onClose: (link, reason) => this.receiveClose(link, reason),
            },
        });
        this.clients.set(address, client);
        client.start();
    }

    /** Opens links to the agents that connected agents know, and stops connecting to agents that none of them knows. */
    private updateAgents(): void {
        const known = [...this.peers.values()].flatMap(peer => [...peer.knownAgents, peer.link.peer.address]);
        const addresses = new Set([...this.options.settings.agents, ...known]);
        for (const [address, client] of this.clients) {
            if (!addresses.has(address)) {
                client.stop();
                this.clients.delete(address);
            }
        }
        addresses.forEach(address => this.openAgent(address));
    }

    private receiveOpen(link: AgentLink): void {
        const key = formatIncarnation(link.peer);
        this.peers.set(key, {
            link,
            sync: new OfferingsSync(this.options.fold),
            renewals: [],
            acknowledgedSequence: 0,
            knownAgents: [],
            reportedInFlight: new Map(),
        });
        this.options.logger.info("agent connected", { agent: link.peer.id });
        this.updatePlacer();
        this.renew(key);
    }

    private receiveClose(link: AgentLink, reason: CloseReason): void {
        this.options.metrics.frames.inc({ event: reason });
        const entry = [...this.peers].find(([, peer]) => peer.link === link);
        if (entry === undefined) {
            return;
        }
        this.peers.delete(entry[0]);
        const services = this.services.get(entry[0]);
        if (services !== undefined) {
            services.disconnectedAt = performance.now();
        }
        this.options.logger.warn("agent disconnected", { agent: link.peer.id, reason });
        this.updatePlacer();
    }

    private updatePlacer(): void {
        const agents = [...this.peers.values()].map(peer => peer.link.peer.id);
        const placerId = findOwner(placerKey, agents);
        const placer = [...this.peers].find(([, peer]) => peer.link.peer.id === placerId)?.[0];
        if (placer !== this.placer) {
            this.placer = placer;
            this.options.events.onPlacerChange();
        }
    }

    // Renewals.

    private renewAll(): void {
        if (this.leases.expire(readInstant())) {
            this.options.logger.warn("leases expired");
        }
        for (const key of this.peers.keys()) {
            this.renew(key);
        }
        this.expireServices();
        this.options.events.onEngines();
        this.options.events.onServices(this.listServices());
    }

    private renew(key: string): void {
        const peer = this.peers.get(key);
        if (peer === undefined) {
            return;
        }
        const sequence = ++this.sequence;
        peer.renewals.push({ sequence, sentAt: readInstant(), inFlight: this.uses.readInFlight() });
        if (peer.renewals.length > maxPendingRenewals) {
            peer.renewals.shift();
        }
        peer.link.send({
            type: "renew",
            sequence,
            grantVersion: this.leases.readVersion(key),
            offeringsVersion: this.options.fold.version,
            uses: this.uses.list().filter(use => this.leases.mayOwn(key, use.engineId)),
            unsure: this.uses.listUnconfirmed().filter(use => this.leases.mayOwn(key, use.engineId)),
        });
    }

    private receiveGrant(key: string, peer: AgentPeer, grant: MessageOf<"grant">): void {
        const index = peer.renewals.findIndex(renewal => renewal.sequence === grant.sequence);
        const renewal = index < 0 ? undefined : peer.renewals[index];
        peer.renewals.splice(0, index + 1);
        peer.acknowledgedSequence = Math.max(peer.acknowledgedSequence, grant.sequence);
        peer.reportedInFlight = renewal?.inFlight ?? peer.reportedInFlight;
        for (const { id, paying, trial } of grant.counts ?? []) {
            const reported = peer.reportedInFlight.get(id) ?? noneInFlight;
            this.otherInFlight.set(id, {
                paying: Math.max(0, paying - reported.paying),
                trial: Math.max(0, trial - reported.trial),
            });
        }
        this.uses.removeUnconfirmed(Math.min(...[...this.peers.values()].map(other => other.acknowledgedSequence)));
        const versionBefore = this.leases.readVersion(key);
        const changed = this.leases.receiveGrant(key, grant, renewal?.sentAt);
        if (changed) {
            this.options.events.onEngines();
        }
        if (this.leases.readVersion(key) !== versionBefore) {
            // The owner may be waiting for the confirmation of this grant.
            this.renew(key);
        }
    }

    // Messages.

    private receive(link: AgentLink, message: Message): void {
        const key = formatIncarnation(link.peer);
        const peer = this.peers.get(key);
        if (peer === undefined) {
            return;
        }
        switch (message.type) {
            case "grant":
                this.receiveGrant(key, peer, message);
                return;
            case "outlook":
                this.options.events.onOutlook(message);
                return;
            case "askState":
                // Ignored from an agent that this gateway does not see as the placer. The demand is sent to the new
                // placer when this gateway detects the change.
                if (key === this.placer) {
                    this.options.events.onPlacerChange();
                }
                return;
            case "services":
                this.receiveServices(key, message.upstreams);
                return;
            case "agents":
                peer.knownAgents = message.addresses;
                this.updateAgents();
                return;
            case "gateways":
                this.otherGateways = message.gateways;
                return;
            case "heirs":
                this.options.events.onHeirs(message.heirs);
                return;
            case "bye":
                link.close("peerClosed");
                return;
            case "have":
            case "changes":
            case "wholePart":
                this.receiveOfferings(peer, message);
                return;
            default:
                this.options.metrics.frames.inc({ event: "unexpectedMessage" });
        }
    }

    /** Stores the service upstreams that one agent watches. */
    private receiveServices(key: string, upstreams: readonly ServiceUpstream[]): void {
        this.services.set(key, { upstreams, disconnectedAt: undefined });
        this.options.events.onServices(this.listServices());
    }

    /** Reports of connected agents take precedence over the last reports of disconnected agents. */
    private listServices(): ServiceUpstream[] {
        const byId = new Map<string, ServiceUpstream>();
        const lists = [...this.services.values()].sort((left, right) =>
            (left.disconnectedAt ?? Infinity) - (right.disconnectedAt ?? Infinity)
        );
        for (const upstream of lists.flatMap(list => list.upstreams)) {
            byId.set(upstream.id, upstream);
        }
        return [...byId.values()];
    }

    /**
     * Drops the reports of agents that disconnected more than {@link disconnectedAgentMs} ago, as other agents watch
     * these services by then. Without any connected agent the last reports are kept.
     */
    private expireServices(): void {
        const now = performance.now();
        for (const [agent, { disconnectedAt }] of this.services) {
            if (this.peers.size > 0 && disconnectedAt !== undefined && now - disconnectedAt > disconnectedAgentMs) {
                this.services.delete(agent);
            }
        }
    }

    private receiveOfferings(peer: AgentPeer, message: MessageOf<"have" | "changes" | "wholePart">): void {
        if (message.type === "have") {
            const want = peer.sync.receiveHave(message);
            if (want !== undefined) {
                peer.link.send(want);
            }
            return;
        }
        const changed = message.type === "changes" ? peer.sync.receiveChanges(message) : peer.sync.receivePart(message);
        if (changed) {
            this.options.events.onOfferings();
            this.renewAll();
        }
    }
}

/** Omits zero values: for most models only the arrivals are counted. */
function createSparseDemand(
    demand: MessageOf<"demand">["changes"][number],
): Extract<OutgoingMessage, { type: "demand"; }>["changes"][number] {
    return {
        model: demand.model,
        paying: demand.paying.count === 0 ? undefined : demand.paying,
        trial: demand.trial.count === 0 ? undefined : demand.trial,
        payingArrivals: demand.payingArrivals || undefined,
        trialArrivals: demand.trialArrivals || undefined,
    };
}
