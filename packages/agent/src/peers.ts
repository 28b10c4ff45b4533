import { rankNodes } from "@radishreel/membership";
import { type Message, messageSchema, type OutgoingMessage } from "@radishreel/protocol";
import type { AgentMetrics, Logger } from "@radishreel/telemetry";
import {
    type CloseReason,
    type Link,
    LinkClient,
    type LinkEvents,
    LinkServer,
    type NodeIdentity,
    resolveLinkLimits,
} from "@radishreel/wire";
import type { AgentSettings } from "./settings.js";

/** A link between an agent and another process. */
export type PeerLink = Link<Message, OutgoingMessage>;

/** Events that the peer task reports to the agent. */
export interface PeerEvents {
    /** The set of connected agents or gateways has changed. */
    onMembership(): void;
    onOpen(link: PeerLink): void;
    onMessage(link: PeerLink, message: Message): void;
    onClose(link: PeerLink): void;
}

/** Options of {@link PeerTask}. */
export interface PeerOptions {
    readonly settings: AgentSettings;
    readonly self: () => NodeIdentity;
    readonly metrics: AgentMetrics;
    readonly logger: Logger;
    readonly events: PeerEvents;
}

/** An entry VM in the platform's list of VMs. */
export interface EntryVm {
    readonly id: string;
    readonly dataCentre: string;
    readonly address: string;
}

/** Number of links that this agent keeps to each other data centre. */
const linksPerOtherDataCentre = 2;

/** Manages the agent's links: to all agents of its data centre, to a few in each other one, and from its gateways. */
export class PeerTask {
    private readonly server: LinkServer<Message, OutgoingMessage>;
    private readonly clients = new Map<string, LinkClient<Message, OutgoingMessage>>();
    private readonly links = new Set<PeerLink>();
    private readonly seeds: ReadonlySet<string>;
    private entryVms: readonly EntryVm[] = [];

    constructor(private readonly options: PeerOptions) {
        const { settings, self } = options;
        this.seeds = new Set(settings.agents);
        this.server = new LinkServer({
            ...settings.peers,
            maxLinks: settings.maxConnections,
            ...this.createLinkOptions(),
            self,
        });
    }

    /** Starts listening and connecting. Returns the port. */
    async start(): Promise<number> {
        const port = await this.server.start();
        this.updateClients();
        return port;
    }

    stop(): void {
        for (const client of this.clients.values()) {
            client.stop();
        }
        this.server.stop();
    }

    /** Sets the entry VMs in the platform's list of VMs. */
    setEntryVms(vms: readonly EntryVm[]): void {
        this.entryVms = vms;
        this.updateClients();
    }

    /** Lists the ids of the connected agents of the own data centre and of this agent. */
    listAgentIds(): string[] {
        const { id, dataCentre } = this.options.self();
        const ids = new Set([id]);
        for (const { peer } of this.listAgentLinks()) {
            if (peer.dataCentre === dataCentre) {
                ids.add(peer.id);
            }
        }
        return [...ids];
    }

    /** Lists one open link to each connected agent. */
    listAgentLinks(): PeerLink[] {
        return this.listLinks("agent");
    }

    /** Lists one open link to each connected gateway. */
    listGatewayLinks(): PeerLink[] {
        return this.listLinks("gateway");
    }

    /** Sends a message to one agent by its id. Returns false if the agent is not connected. */
    sendToAgent(id: string, message: OutgoingMessage): boolean {
        return this.listAgentLinks().find(link => link.peer.id === id)?.send(message) ?? false;
    }

    broadcast(links: readonly PeerLink[], message: OutgoingMessage): void {
        for (const link of links) {
            link.send(message);
        }
    }

    /** Lists the addresses of the own data centre's agents, for gateways. */
    listAgentAddresses(): string[] {
        const { dataCentre, address } = this.options.self();
        const linked = this.listAgentLinks().filter(link => link.peer.dataCentre === dataCentre).map(link =>
            link.peer.address
        );
        return [...new Set([address, ...linked])];
    }

    private listLinks(role: NodeIdentity["role"]): PeerLink[] {
        const byNode = new Map<string, PeerLink>();
        for (const link of this.links) {
            if (link.isOpen && link.peer.role === role) {
                byNode.set(link.peer.id, link);
            }
        }
        return [...byNode.values()];
    }

    // Outgoing connections.

    private updateClients(): void {
        const addresses = new Set([...this.seeds, ...this.listAddressesToConnect()]);
        addresses.delete(this.options.self().address);
        for (const [address, client] of this.clients) {
            if (!addresses.has(address)) {
                client.stop();
                this.clients.delete(address);
            }
        }
        for (const address of addresses) {
            this.openClient(address);
        }
    }

    private listAddressesToConnect(): string[] {
        const { id, dataCentre } = this.options.self();
        // Of two agents of the data centre only the one with the lower id connects, so that each pair has one link.
        const local = this.entryVms.filter(vm => vm.dataCentre === dataCentre && id < vm.id).map(vm => vm.address);
        const remote = this.entryVms.filter(vm => vm.dataCentre !== dataCentre);
        const dataCentres = new Set(remote.map(vm => vm.dataCentre));
        const chosen = [...dataCentres].flatMap(other => {
            const addresses = remote.filter(vm => vm.dataCentre === other).map(vm => vm.address);
            return rankNodes(id, addresses).slice(0, linksPerOtherDataCentre);
        });
        return [...local, ...chosen];
    }

    private openClient(address: string): void {
        if (this.clients.has(address)) {
            return;
        }
        const client = new LinkClient<Message, OutgoingMessage>({
            address,
            ...this.createLinkOptions(),
            self: this.options.self,
        });
        this.clients.set(address, client);
        client.start();
    }

    // Links.

    private createLinkOptions() {
        const { settings, metrics } = this.options;
        const events: LinkEvents<Message, OutgoingMessage> = {
            onOpen: link => this.receiveOpen(link),
            onMessage: (link, message) => this.options.events.onMessage(link, message),
            onClose: (link, reason) => this.receiveClose(link, reason),
            onBytes: (direction, count) => metrics.bytes.inc({ direction }, count),
        };
        return {
            secret: settings.secret,
            schema: messageSchema,
            limits: resolveLinkLimits({ heartbeatMs: settings.heartbeatMs, silenceMs: settings.peerSilenceMs }),
            events,
        };
    }

    private receiveOpen(link: PeerLink): void {
        if (link.peer.id === this.options.self().id && link.peer.role === "agent") {
            link.close("asked");
            return;
        }
        this.links.add(link);
        this.options.logger.info("peer connected", { peer: link.peer.id, role: link.peer.role });
        this.options.events.onOpen(link);
        this.options.events.onMembership();
    }

    private receiveClose(link: PeerLink, reason: CloseReason): void {
        this.options.metrics.frames.inc({ event: reason });
        if (!this.links.delete(link)) {
            return;
        }
        this.options.logger.warn("peer disconnected", { peer: link.peer.id, role: link.peer.role, reason });
        this.options.events.onClose(link);
        this.options.events.onMembership();
    }
}
