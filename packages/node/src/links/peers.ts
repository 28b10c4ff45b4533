import {
    encodeFrame,
    isAddress,
    type Link,
    LinkClient,
    LinkServer,
    LinkTicker,
    type NodeIdentity,
} from "@radishreel/wire";
import type { DecisionLog } from "../decisions.js";
import type { Member } from "../ports.js";
import { AcceptedLinks } from "./accepted.js";
import { chooseLinkLimits, linkTickMs } from "./linklimits.js";
import { KnownMembers } from "./members.js";
import { type PeerMessage, peerMessageSchema } from "./messages.js";
import { isMesh, type KnownMember, listDesiredLinks } from "./topology.js";

/**
 * Longest delay between two attempts to reach a VM, in milliseconds. Without this limit, links may open up
 * to 2 s after a cut of 6 s has ended; until then no adapter can be loaded on the engines beyond it.
 */
const maxReconnectDelayMs = 500;

/** Time after which an unreachable VM is forgotten, in milliseconds. */
const unreachableExpiryMs = 60_000;

/**
 * Time without a message to one VM alone after which an unwanted link to that VM is closed, in milliseconds. Otherwise
 * a VM that owned engines for a moment would keep links to all other VMs permanently.
 */
const idleLinkMs = 10_000;

/** Options of {@link Peers}. */
export interface PeersOptions {
    readonly self: NodeIdentity;
    /** Shared by all VMs of one deployment. */
    readonly secret: string;
    readonly host: string;
    readonly port: number;
    /** Most links that others may open. @default unlimited */
    readonly maxLinks?: number | undefined;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Called for each heartbeat and message on a link. */
    readonly onFrame: (direction: "sent" | "received", type: string) => void;
    readonly onBytes: (direction: "sent" | "received", count: number) => void;
    /** Creates the messages for a VM whose link has just opened. */
    readonly createInitialMessages: (vm: string) => PeerMessage[];
    readonly onMessage: (vm: string, message: PeerMessage) => void;
    /** Called when a link to a process that was not known before has opened. */
    readonly onStart: () => void;
    readonly onClose: (vm: string) => void;
}

interface Peer {
    readonly address: string;
    readonly client: LinkClient<PeerMessage>;
    link: Link<PeerMessage> | undefined;
    /** Known once a link has been opened. */
    dataCentre: string | undefined;
    lastOpenAt: number;
    /** When a message was last sent to this VM alone, in milliseconds. */
    usedAt: number;
}

/**
 * Links to other VMs. Few VMs form a full mesh: each VM opens a link to each other VM, sends on the links that it
 * opened and receives on the links that others opened, so that a path cut in one direction shows as a dead link. Among
 * more VMs, owners of engines open links to all VMs, and the other VMs send on these links as well.
 */
export class Peers {
    private readonly server: LinkServer<PeerMessage>;
    private readonly incarnations = new Map<string, number>();
    private readonly leaving = new Set<string>();
    private readonly members: KnownMembers;
    private readonly peersByAddress = new Map<string, Peer>();
    private readonly ticker = new LinkTicker(linkTickMs);
    private isHub = false;
    /** Whether this VM opens its desired links; see {@link pauseOpening}. */
    private isOpening = true;
    private desiredLinks: ReadonlySet<string> = new Set();
    /** Open links that this VM opened, by VM. */
    private readonly linksByVm = new Map<string, Link<PeerMessage>>();
    /** Links that other VMs opened. In a full mesh nothing is sent on them. */
    private readonly accepted: AcceptedLinks;

    constructor(private readonly options: PeersOptions) {
        this.members = new KnownMembers(options.self);
        this.accepted = new AcceptedLinks(options.self.dataCentre);
        this.server = new LinkServer<PeerMessage>({
            host: options.host,
            port: options.port,
            maxLinks: options.maxLinks,
            self: () => options.self,
            secret: options.secret,
            schema: peerMessageSchema,
            limits: () => chooseLinkLimits(this.isMesh),
            ticker: this.ticker,
            events: {
                onFrame: options.onFrame,
                onBytes: options.onBytes,
                onOpen: link => this.receiveAcceptedLink(link),
                onMessage: (link, message) => options.onMessage(link.peer.id, message),
                onClose: link => this.receiveAcceptedClose(link),
            },
        });
    }

    /** Starts listening and returns the port. */
    start(): Promise<number> {
        return this.server.start();
    }

    stop(): void {
        for (const peer of this.peersByAddress.values()) {
            peer.client.stop();
        }
        this.server.stop();
    }

    /** Adds a VM or its details, and opens a link to it if the topology requires one. */
    addPeer(member: KnownMember): void {
        if (this.members.update(member)) {
            this.openDesiredLinks();
        }
    }

    /** Sets whether this VM is a hub, an owner of engines that is linked to all other VMs. */
    setHub(isHub: boolean): void {
        if (this.isHub !== isHub) {
            this.isHub = isHub;
            this.openDesiredLinks();
        }
    }

    /** Whether the VMs form a full mesh. */
    get isMesh(): boolean {
        return isMesh(this.members.count);
    }

    /**
     * Opens no desired links until {@link resumeOpening}: while all VMs start, the first known VMs are only a part of
     * them.
     */
    pauseOpening(): void {
        this.isOpening = false;
    }

    resumeOpening(): void {
        this.isOpening = true;
        this.openDesiredLinks();
    }

    private openDesiredLinks(): void {
        const { self } = this.options;
        if (!this.isOpening) {
            return;
        }
        this.desiredLinks = listDesiredLinks({ self, members: this.members.list(), isHub: this.isHub });
        for (const address of this.desiredLinks) {
            this.openLink(address);
        }
    }

    private openLink(address: string): void {
        const { self, secret } = this.options;
        if (this.peersByAddress.has(address) || !isAddress(address)) {
            return;
        }
        const client = new LinkClient<PeerMessage>({
            address,
            self: () => self,
            secret,
            schema: peerMessageSchema,
            limits: chooseLinkLimits(this.isMesh),
            ticker: this.ticker,
            maxBackoffMs: maxReconnectDelayMs,
            events: {
                onFrame: this.options.onFrame,
                onBytes: this.options.onBytes,
                onOpen: link => this.receiveOpen(address, link),
                onMessage: (link, message) => this.options.onMessage(link.peer.id, message),
                onClose: link => this.receiveClose(address, link),
            },
        });
        const now = this.options.readTime();
        this.peersByAddress.set(address, {
            address,
            client,
            link: undefined,
            dataCentre: undefined,
            lastOpenAt: now,
            usedAt: now,
        });
        client.start();
    }

    /** Lists the VMs to which messages can be sent. */
    listConnected(): string[] {
        const accepted = this.isMesh ? [] : this.accepted.listVms();
        return [...new Set([...this.linksByVm.keys(), ...accepted])];
    }

    /** Counts the links that this VM has opened or tries to open. */
    countOpened(): number {
        return this.peersByAddress.size;
    }

    /** Whether messages can be sent to a VM. */
    isConnected(vm: string): boolean {
        return this.findLink(vm) !== undefined;
    }

    private findLink(vm: string): Link<PeerMessage> | undefined {
        return this.linksByVm.get(vm) ?? (this.isMesh ? undefined : this.accepted.find(vm));
    }

    /** Finds the incarnation of the process of a VM to which a link was last opened, by either side. */
    findIncarnation(vm: string): number | undefined {
        return this.incarnations.get(vm);
    }

    /** Finds the data centre of a connected VM. */
    findDataCentre(vm: string): string | undefined {
        return this.findLink(vm)?.peer.dataCentre;
    }

    /**
     * Time since the last frame from any VM of another data centre, in milliseconds; undefined if none was ever linked.
     * The silence of a closed link counts from its close.
     */
    readOtherDataCentresSilenceMs(): number | undefined {
        const { self, readTime } = this.options;
        const now = readTime();
        const opened = [...this.peersByAddress.values()]
            .filter(({ dataCentre }) => dataCentre !== undefined && dataCentre !== self.dataCentre)
            .map(({ link, lastOpenAt }) => link?.receiveIdleMs ?? now - lastOpenAt);
        const silences = this.isMesh ? opened : [...opened, ...this.accepted.listReceiveIdleMs(now)];
        return silences.length === 0 ? undefined : Math.min(...silences);
    }

    /** Records that a VM has announced that it is stopping. */
    recordLeaving(vm: string): void {
        this.leaving.add(vm);
    }

    /** Lists the connected VMs that can take over shards of this VM: those that are not stopping themselves. */
    listHandoverTargets(): string[] {
        return this.listConnected().filter(vm => !this.leaving.has(vm));
    }

    /** Lists the other VMs whose names are known. */
    listMembers(): Member[] {
        return this.members.listNamed();
    }

    /** Lists all other VMs that may be running: by name, or by address if the name is not known. */
    listKnown(): string[] {
        return this.members.list().map(({ id, address }) => id ?? address);
    }

    /** Counts the other VMs that may be running. */
    countMembers(): number {
        return this.members.count;
    }

    broadcast(message: PeerMessage): void {
        this.sendToAll(this.listConnected(), message);
    }

    /** Sends to the connected VMs of the own data centre, or to all connected VMs in a full mesh. */
    sendToDataCentre(message: PeerMessage): void {
        const { dataCentre } = this.options.self;
        const isIncluded = (vm: string): boolean => this.isMesh || this.findDataCentre(vm) === dataCentre;
        this.sendToAll(this.listConnected().filter(isIncluded), message);
    }

    /** Sends one message to several VMs; those without a link are left out. */
    sendToAll(vms: readonly string[], message: PeerMessage): void {
        const frame = encodeFrame(message);
        for (const vm of vms) {
            this.findLink(vm)?.sendEncoded(frame, message.type);
        }
    }

    /** Sends to one VM. @returns Whether a link to it is open. */
    send(vm: string, message: PeerMessage): boolean {
        const link = this.findLink(vm);
        const peer = link === undefined ? undefined : this.peersByAddress.get(link.peer.address);
        if (peer !== undefined) {
            peer.usedAt = this.options.readTime();
        }
        return link?.send(message) ?? false;
    }

    /** Forgets VMs that have been unreachable for long, and closes unwanted links that have been idle for long. */
    expireUnused(): void {
        const now = this.options.readTime();
        const known = this.members.count;
        for (const peer of this.peersByAddress.values()) {
            if (peer.link === undefined && now - peer.lastOpenAt > unreachableExpiryMs) {
                this.members.remove(peer.address);
                this.removePeer(peer);
            }
            else if (!this.desiredLinks.has(peer.address) && now - peer.usedAt > idleLinkMs) {
                this.removePeer(peer);
            }
        }
        if (this.members.count < known) {
            this.openDesiredLinks();
        }
    }

    private removePeer(peer: Peer): void {
        this.peersByAddress.delete(peer.address);
        if (peer.link !== undefined) {
            this.recordClosedLink(peer.link);
        }
        peer.client.stop();
    }

    /** Handles a link that another VM has opened. */
    private receiveAcceptedLink(link: Link<PeerMessage>): void {
        const { peer } = link;
        this.addPeer({ id: peer.id, address: peer.address, dataCentre: peer.dataCentre });
        this.accepted.add(link);
        if (!this.isMesh) {
            this.sendInitialMessages(link);
        }
        else if (this.isOpening) {
            this.openLink(peer.address);
        }
        this.recordIncarnation(peer);
    }

    private receiveAcceptedClose(link: Link<PeerMessage>): void {
        // In a full mesh the link that this VM opened shows when the other VM is gone.
        if (this.accepted.remove(link, this.options.readTime()) && !this.isMesh) {
            this.checkConnected(link.peer.id);
        }
    }

    private recordIncarnation(peer: NodeIdentity): void {
        if ((this.incarnations.get(peer.id) ?? -1) !== peer.incarnation) {
            this.incarnations.set(peer.id, peer.incarnation);
            this.leaving.delete(peer.id);
            this.options.onStart();
        }
    }

    private receiveOpen(address: string, link: Link<PeerMessage>): void {
        const peer = this.peersByAddress.get(address);
        if (peer === undefined || link.peer.id === this.options.self.id) {
            link.close("asked");
            return;
        }
        peer.link = link;
        peer.dataCentre = link.peer.dataCentre;
        this.linksByVm.set(link.peer.id, link);
        this.options.log.recordImportant("peerLinked", { peer: link.peer.id, address });
        if (!this.isMesh) {
            // The other side opens no link of its own that would show its start.
            this.recordIncarnation(link.peer);
        }
        this.sendInitialMessages(link);
    }

    private sendInitialMessages(link: Link<PeerMessage>): void {
        for (const message of this.options.createInitialMessages(link.peer.id)) {
            link.send(message);
        }
    }

    private receiveClose(address: string, link: Link<PeerMessage>): void {
        const peer = this.peersByAddress.get(address);
        if (peer?.link !== link) {
            return;
        }
        peer.link = undefined;
        peer.lastOpenAt = this.options.readTime();
        this.options.log.recordImportant("peerLost", { peer: link.peer.id, address });
        this.recordClosedLink(link);
    }

    private recordClosedLink(link: Link<PeerMessage>): void {
        const vm = link.peer.id;
        if (this.linksByVm.get(vm) === link) {
            this.linksByVm.delete(vm);
        }
        this.checkConnected(vm);
    }

    /** Calls `onClose` after a link has closed, unless another link to the VM is open. */
    private checkConnected(vm: string): void {
        if (!this.isConnected(vm)) {
            this.options.onClose(vm);
        }
    }
}
