import { encodeFrame, type Link, LinkClient, LinkServer, LinkTicker, type NodeIdentity } from "@radishreel/wire";
import type { DecisionLog } from "../decisions.js";
import type { Member } from "../ports.js";
import { AcceptedLinks } from "./accepted.js";
import { chooseLinkLimits, linkTickMs } from "./linklimits.js";
import { KnownMembers } from "./members.js";
import { type PeerMessage, peerMessageSchema } from "./messages.js";
import { isMesh, type KnownMember, listWantedLinks } from "./wanted.js";

/**
 * Longest pause between two tries to reach a VM, in milliseconds. After a cut of 6 s nothing could be loaded on the engines
 * beyond it until links were open again, up to 2 s later.
 */
const maxBackoffMs = 500;

/** A VM that has been unreachable for this long is no longer tried, in milliseconds. */
const forgetMs = 60_000;

/**
 * A link that this VM does not want to keep is closed after this long without a message to that VM alone, in milliseconds:
 * one that owned engines for a moment would keep links to all others for good.
 */
const idleMs = 10_000;

/** Options of {@link Peers}. */
export interface PeersOptions {
    readonly self: NodeIdentity;
    /** Shared by all VMs of one deployment. */
    readonly secret: string;
    readonly host: string;
    readonly port: number;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** A heartbeat or a message crossed a link. */
    readonly onFrame: (direction: "sent" | "received", type: string) => void;
    readonly onBytes: (direction: "sent" | "received", count: number) => void;
    /** Messages for a VM whose link has just opened. */
    readonly createGreeting: (vm: string) => PeerMessage[];
    readonly onMessage: (vm: string, message: PeerMessage) => void;
    /** A process of a VM that was not known before has opened a link. */
    readonly onStart: () => void;
    readonly onClose: (vm: string) => void;
}

interface Peer {
    readonly address: string;
    readonly client: LinkClient<PeerMessage>;
    link: Link<PeerMessage> | undefined;
    /** Known once a link has been open. */
    dataCentre: string | undefined;
    lastOpenAt: number;
    /** When something was last sent to this VM alone. */
    usedAt: number;
}

/**
 * Links to other VMs. Among few VMs each opens a link to each other, sends on those it opened and receives on those opened
 * to it, so that a path that is cut one way shows as a dead link of its own. Among more VMs owners of engines open links to
 * all, and the others send on these.
 */
export class Peers {
    private readonly server: LinkServer<PeerMessage>;
    private readonly incarnations = new Map<string, number>();
    private readonly leaving = new Set<string>();
    private readonly members: KnownMembers;
    private readonly peersByAddress = new Map<string, Peer>();
    private readonly ticker = new LinkTicker(linkTickMs);
    private isHub = false;
    /** Whether links are opened that this VM wants. */
    private isOpening = true;
    private wanted: ReadonlySet<string> = new Set();
    /** Open links that this VM opened, by VM. */
    private readonly linksByVm = new Map<string, Link<PeerMessage>>();
    /** Where each VM is linked to each nothing is sent on these. */
    private readonly accepted: AcceptedLinks;

    constructor(private readonly options: PeersOptions) {
        this.members = new KnownMembers(options.self);
        this.accepted = new AcceptedLinks(options.self.dataCentre);
        this.server = new LinkServer<PeerMessage>({
            host: options.host,
            port: options.port,
            self: () => options.self,
            secret: options.secret,
            schema: peerMessageSchema,
            limits: () => chooseLinkLimits(this.isMesh),
            ticker: this.ticker,
            events: {
                onFrame: options.onFrame,
                onBytes: options.onBytes,
                onOpen: link => this.receiveCaller(link),
                onMessage: (link, message) => options.onMessage(link.peer.id, message),
                onClose: link => this.receiveCallerClose(link),
            },
        });
    }

    /** Starts to listen and returns the port. */
    start(): Promise<number> {
        return this.server.start();
    }

    stop(): void {
        for (const peer of this.peersByAddress.values()) {
            peer.client.stop();
        }
        this.server.stop();
    }

    /** Takes word of a VM, and opens a link to it if one is wanted. */
    addPeer(member: KnownMember): void {
        if (this.members.update(member)) {
            this.openWanted();
        }
    }

    /** Whether this VM owns engines: then it is linked to all others. */
    setHub(isHub: boolean): void {
        if (this.isHub !== isHub) {
            this.isHub = isHub;
            this.openWanted();
        }
    }

    /** Whether each VM is linked to each. */
    get isMesh(): boolean {
        return isMesh(this.members.count);
    }

    /** Opens no links by itself until it is told otherwise: while all VMs start, those that are known first are not all. */
    pauseOpening(): void {
        this.isOpening = false;
    }

    resumeOpening(): void {
        this.isOpening = true;
        this.openWanted();
    }

    private openWanted(): void {
        const { self } = this.options;
        if (!this.isOpening) {
            return;
        }
        this.wanted = listWantedLinks({ self, members: this.members.list(), isHub: this.isHub });
        for (const address of this.wanted) {
            this.openLink(address);
        }
    }

    private openLink(address: string): void {
        const { self, secret } = this.options;
        if (this.peersByAddress.has(address)) {
            return;
        }
        const client = new LinkClient<PeerMessage>({
            address,
            self: () => self,
            secret,
            schema: peerMessageSchema,
            limits: chooseLinkLimits(this.isMesh),
            ticker: this.ticker,
            maxBackoffMs,
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

    /** VMs to which messages can be sent. */
    listConnected(): string[] {
        const accepted = this.isMesh ? [] : this.accepted.listVms();
        return [...new Set([...this.linksByVm.keys(), ...accepted])];
    }

    /** Links that this VM has opened or tries to open. */
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

    /** The process of a VM to which a link was opened last, by either side. */
    findIncarnation(vm: string): number | undefined {
        return this.incarnations.get(vm);
    }

    /** Data centre of a connected VM. */
    findDataCentre(vm: string): string | undefined {
        return this.findLink(vm)?.peer.dataCentre;
    }

    /**
     * Time since any VM of another data centre was heard, in milliseconds; undefined if none was ever linked. A link that
     * is closed has been quiet since then.
     */
    readOthersQuietMs(): number | undefined {
        const { self, readTime } = this.options;
        const now = readTime();
        const opened = [...this.peersByAddress.values()]
            .filter(({ dataCentre }) => dataCentre !== undefined && dataCentre !== self.dataCentre)
            .map(({ link, lastOpenAt }) => link?.quietMs ?? now - lastOpenAt);
        const quiet = this.isMesh ? opened : [...opened, ...this.accepted.listQuietMs(now)];
        return quiet.length === 0 ? undefined : Math.min(...quiet);
    }

    /** Takes word of a VM that it is stopping. */
    recordLeaving(vm: string): void {
        this.leaving.add(vm);
    }

    /** Connected VMs that can take over what this one gives up: those that are not stopping themselves. */
    listHeirs(): string[] {
        return this.listConnected().filter(vm => !this.leaving.has(vm));
    }

    /** VMs that are known by name, this one left out. */
    listMembers(): Member[] {
        return this.members.listNamed();
    }

    /** VMs that may be running, this one left out. */
    countLikely(): number {
        return this.members.count;
    }

    broadcast(message: PeerMessage): void {
        this.sendToAll(this.listConnected(), message);
    }

    /** Sends to the VMs of the own data centre, or to all where each is linked to each. */
    sendNear(message: PeerMessage): void {
        const { dataCentre } = this.options.self;
        const isNear = (vm: string): boolean => this.isMesh || this.findDataCentre(vm) === dataCentre;
        this.sendToAll(this.listConnected().filter(isNear), message);
    }

    private sendToAll(vms: readonly string[], message: PeerMessage): void {
        const frame = encodeFrame(message);
        for (const vm of vms) {
            this.findLink(vm)?.sendEncoded(frame, message.type);
        }
    }

    /** Sends to one VM. @returns Whether there is a link to it. */
    send(vm: string, message: PeerMessage): boolean {
        const link = this.findLink(vm);
        const peer = link === undefined ? undefined : this.peersByAddress.get(link.peer.address);
        if (peer !== undefined) {
            peer.usedAt = this.options.readTime();
        }
        return link?.send(message) ?? false;
    }

    /** Stops trying VMs that have been gone for long, and closes links that nobody has needed of late. */
    expireUnused(): void {
        const now = this.options.readTime();
        const known = this.members.count;
        for (const peer of this.peersByAddress.values()) {
            if (peer.link === undefined && now - peer.lastOpenAt > forgetMs) {
                this.members.remove(peer.address);
                this.removePeer(peer);
            }
            else if (!this.wanted.has(peer.address) && now - peer.usedAt > idleMs) {
                this.removePeer(peer);
            }
        }
        if (this.members.count < known) {
            this.openWanted();
        }
    }

    private removePeer(peer: Peer): void {
        this.peersByAddress.delete(peer.address);
        if (peer.link !== undefined) {
            this.recordUnlinked(peer.link);
        }
        peer.client.stop();
    }

    /** Another VM has opened a link. */
    private receiveCaller(link: Link<PeerMessage>): void {
        const { peer } = link;
        this.addPeer({ id: peer.id, address: peer.address, dataCentre: peer.dataCentre });
        this.accepted.add(link);
        if (!this.isMesh) {
            this.sendGreeting(link);
        }
        else if (this.isOpening) {
            this.openLink(peer.address);
        }
        this.recordIncarnation(peer);
    }

    private receiveCallerClose(link: Link<PeerMessage>): void {
        // Where each VM is linked to each, its own link to the other one tells when that is gone.
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
            // The other side opens no link of its own, by which it would tell that it has started.
            this.recordIncarnation(link.peer);
        }
        this.sendGreeting(link);
    }

    private sendGreeting(link: Link<PeerMessage>): void {
        for (const message of this.options.createGreeting(link.peer.id)) {
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
        this.recordUnlinked(link);
    }

    private recordUnlinked(link: Link<PeerMessage>): void {
        const vm = link.peer.id;
        if (this.linksByVm.get(vm) === link) {
            this.linksByVm.delete(vm);
        }
        this.checkConnected(vm);
    }

    /** A link to a VM is closed: it is out of reach unless there is another one. */
    private checkConnected(vm: string): void {
        if (!this.isConnected(vm)) {
            this.options.onClose(vm);
        }
    }
}
