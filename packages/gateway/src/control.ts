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

/** What the control task tells the gateway. */
export interface ControlEvents {
    /** Leases or counts of engines may have changed. */
    onEngines(): void;
    onServices(upstreams: readonly ServiceUpstream[]): void;
    onOutlook(outlook: MessageOf<"outlook">): void;
    onOfferings(): void;
    /** Another placer is responsible, or has only now learnt that it is: it must hear of everything that waits. */
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
    /** Renewals that the agent has not answered yet, oldest first. */
    readonly renewals: { sequence: number; sentAt: Instant; own: ReadonlyMap<string, InFlight>; }[];
    /** Sequence of the last renewal that the agent has answered. */
    answered: number;
    /** Addresses of agents that this one knows. */
    listed: readonly string[];
    /** Own requests by engine, as that renewal told them: the agent's counts hold just these. */
    toldOwn: ReadonlyMap<string, InFlight>;
}

/** Requests by customer class. */
interface InFlight {
    readonly paying: number;
    readonly trial: number;
}

const noneInFlight: InFlight = { paying: 0, trial: 0 };

type AgentLink = Link<Message, OutgoingMessage>;

/** Unanswered renewals that are remembered for one agent. */
const maxRenewals = 64;

const placerKey = "placer";

/** How long the services that a gone agent watched are remembered, in milliseconds. */
const goneAgentMs = 15_000;

/** Owns the gateway's links to the agents of its data centre: leases, demand, configuration, services. */
export class ControlTask {
    readonly leases = new LeaseHolder();
    readonly uses = new UseCounter();
    private readonly clients = new Map<string, LinkClient<Message, OutgoingMessage>>();
    private readonly peers = new Map<string, AgentPeer>();
    private readonly services = new Map<
        string,
        { upstreams: readonly ServiceUpstream[]; goneAt: number | undefined; }
    >();
    private readonly others = new Map<string, InFlight>();
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

    /** Sends what is wanted to the placer. Returns false without one, so that nothing counts as told. */
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

    /** Requests that other gateways have on an engine, as its owner last said. */
    readOthers(engineId: string): InFlight {
        return this.others.get(engineId) ?? noneInFlight;
    }

    /** A use of a model has ended. Owners that wait for its release are told at once. */
    recordRelease(): void {
        this.renewAll();
    }

    /** The next renewal's sequence. */
    get nextSequence(): number {
        return this.sequence + 1;
    }

    /** An upstream said that it leaves. */
    sendLeaving(upstreamId: string): void {
        this.broadcast({ type: "leaving", upstreamId });
    }

    sendHeirs(heirs: MessageOf<"heirs">["heirs"]): void {
        this.broadcast({ type: "heirs", heirs });
    }

    /** Other gateways of the data centre, for a handover. */
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

    /** Follows what connected agents know: an agent that none of them knows any more is not called for ever. */
    private updateAgents(): void {
        const listed = [...this.peers.values()].flatMap(peer => [...peer.listed, peer.link.peer.address]);
        const wanted = new Set([...this.options.settings.agents, ...listed]);
        for (const [address, client] of this.clients) {
            if (!wanted.has(address)) {
                client.stop();
                this.clients.delete(address);
            }
        }
        wanted.forEach(address => this.openAgent(address));
    }

    private receiveOpen(link: AgentLink): void {
        const key = formatIncarnation(link.peer);
        this.peers.set(key, {
            link,
            sync: new OfferingsSync(this.options.fold),
            renewals: [],
            answered: 0,
            listed: [],
            toldOwn: new Map(),
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
            services.goneAt = performance.now();
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
            this.options.logger.warn("leases lapsed");
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
        peer.renewals.push({ sequence, sentAt: readInstant(), own: this.uses.readInFlight() });
        if (peer.renewals.length > maxRenewals) {
            peer.renewals.shift();
        }
        peer.link.send({
            type: "renew",
            sequence,
            grantVersion: this.leases.readVersion(key),
            offeringsVersion: this.options.fold.version,
            uses: this.uses.list().filter(use => this.leases.isConcerned(key, use.engineId)),
            unsure: this.uses.listUnsure().filter(use => this.leases.isConcerned(key, use.engineId)),
        });
    }

    private receiveGrant(key: string, peer: AgentPeer, grant: MessageOf<"grant">): void {
        const index = peer.renewals.findIndex(renewal => renewal.sequence === grant.sequence);
        const renewal = index < 0 ? undefined : peer.renewals[index];
        peer.renewals.splice(0, index + 1);
        peer.answered = Math.max(peer.answered, grant.sequence);
        peer.toldOwn = renewal?.own ?? peer.toldOwn;
        for (const { id, paying, trial } of grant.counts ?? []) {
            const own = peer.toldOwn.get(id) ?? noneInFlight;
            this.others.set(id, { paying: Math.max(0, paying - own.paying), trial: Math.max(0, trial - own.trial) });
        }
        this.uses.removeUnsure(Math.min(...[...this.peers.values()].map(other => other.answered)));
        const versionBefore = this.leases.readVersion(key);
        const changed = this.leases.receiveGrant(key, grant, renewal?.sentAt);
        if (changed) {
            this.options.events.onEngines();
        }
        if (this.leases.readVersion(key) !== versionBefore) {
            // The owner may be waiting for this grant to be confirmed.
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
                // To this gateway another agent may still be the placer; it tells the new one when it sees the change.
                if (key === this.placer) {
                    this.options.events.onPlacerChange();
                }
                return;
            case "services":
                this.receiveServices(key, message.upstreams);
                return;
            case "agents":
                peer.listed = message.addresses;
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

    /** Each agent tells of the service upstreams that it watches. */
    private receiveServices(key: string, upstreams: readonly ServiceUpstream[]): void {
        this.services.set(key, { upstreams, goneAt: undefined });
        this.options.events.onServices(this.listServices());
    }

    /** What a connected agent says goes before what one that has gone said last. */
    private listServices(): ServiceUpstream[] {
        const byId = new Map<string, ServiceUpstream>();
        const lists = [...this.services.values()].sort((left, right) =>
            (left.goneAt ?? Infinity) - (right.goneAt ?? Infinity)
        );
        for (const upstream of lists.flatMap(list => list.upstreams)) {
            byId.set(upstream.id, upstream);
        }
        return [...byId.values()];
    }

    /** Another agent has taken over what a gone one watched; without any agent its last words stay. */
    private expireServices(): void {
        const now = performance.now();
        for (const [agent, { goneAt }] of this.services) {
            if (this.peers.size > 0 && goneAt !== undefined && now - goneAt > goneAgentMs) {
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

/** Leaves out what is zero: most models are only counted. */
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
