import {
    encodeFrame,
    type Link,
    LinkClient,
    LinkServer,
    LinkTicker,
    type NodeIdentity,
    resolveLinkLimits,
} from "@radishreel/wire";
import type { DecisionLog } from "./decisions.js";
import { type PeerMessage, peerMessageSchema } from "./messages.js";
import type { Member } from "./ports.js";

/**
 * Heartbeats and the silence after which a link counts as dead, in milliseconds: faults last some seconds. Only the side that
 * opened a link sends on it and acts on its loss, so it hears heartbeats at the quicker pace; the other side only needs to
 * drop what is left of a VM that is gone, or of a path that is cut one way.
 */
const linkLimits = resolveLinkLimits({
    heartbeatMs: 400,
    silenceMs: 1500,
    callerHeartbeatMs: 1200,
    callerSilenceMs: 3000,
    maxFrameBytes: 8 * 1024 * 1024,
});

/**
 * Longest pause between two tries to reach a VM, in milliseconds. After a cut of 6 s nothing could be loaded on the engines
 * beyond it until links were open again, up to 2 s later.
 */
const maxBackoffMs = 500;

/**
 * Up to so many other VMs, each is linked to each. Beyond that only owners of engines are linked to all, since requests are
 * let in there, and each VM to the first ones of its data centre, which read the store for it: links then grow with the
 * owners and not with the square of the VMs. At 70 VMs a full mesh cost 0.34 GB between data centres in 25 s.
 */
const meshVms = 12;

/** VMs of the own data centre to which each one is linked: the one that reads the store, and the next one. */
const neighbourVms = 2;

/** A VM that has been unreachable for this long is no longer tried, in milliseconds. */
const forgetMs = 60_000;

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

/** A VM as others have told of it; seeds have an address only. */
export interface KnownMember {
    readonly id: string | undefined;
    readonly address: string;
    readonly dataCentre?: string | undefined;
}

interface Peer {
    readonly address: string;
    readonly client: LinkClient<PeerMessage>;
    link: Link<PeerMessage> | undefined;
    /** Known once a link has been open. */
    dataCentre: string | undefined;
    lastOpenAt: number;
}

/**
 * Links to other VMs. Each VM opens one link to each other, sends on those it opened and receives on those opened to
 * it, so that a path that is cut one way shows as a dead link of its own.
 */
export class Peers {
    private readonly server: LinkServer<PeerMessage>;
    private readonly incarnations = new Map<string, number>();
    private readonly leaving = new Set<string>();
    /** VMs that are known, by address. */
    private readonly members = new Map<string, KnownMember>();
    private readonly peersByAddress = new Map<string, Peer>();
    private readonly ticker = new LinkTicker(linkLimits.heartbeatMs);
    private isHub = false;
    private readonly linksByVm = new Map<string, Link<PeerMessage>>();

    constructor(private readonly options: PeersOptions) {
        this.server = new LinkServer<PeerMessage>({
            host: options.host,
            port: options.port,
            self: () => options.self,
            secret: options.secret,
            schema: peerMessageSchema,
            limits: linkLimits,
            ticker: this.ticker,
            events: {
                onFrame: options.onFrame,
                onBytes: options.onBytes,
                onOpen: link => this.receiveCaller(link.peer),
                onMessage: (link, message) => options.onMessage(link.peer.id, message),
                onClose: () => {
                    // Its own link to us tells when the VM is gone.
                },
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
        if (member.address === this.options.self.address || member.address === "") {
            return;
        }
        this.members.set(member.address, { ...this.members.get(member.address), ...member });
        this.openWanted();
    }

    /** Whether this VM owns engines: then it is linked to all others. */
    setHub(isHub: boolean): void {
        if (this.isHub !== isHub) {
            this.isHub = isHub;
            this.openWanted();
        }
    }

    private openWanted(): void {
        const isMesh = this.isHub || this.members.size <= meshVms;
        const neighbours = this.listNeighbours();
        for (const { address, id } of this.members.values()) {
            if (isMesh || id === undefined || neighbours.has(address)) {
                this.openLink(address);
            }
        }
    }

    /**
     * Addresses of the first VMs, by name, of the own data centre; for one of these also those of all other data centres, so
     * that the VMs which read the store hear of each other.
     */
    private listNeighbours(): Set<string> {
        const { id, dataCentre } = this.options.self;
        const near = this.listFirst(dataCentre, [id]);
        const isFirst = near.some(member => member.id === id);
        const centres = isFirst ? new Set([...this.members.values()].map(member => member.dataCentre)) : [dataCentre];
        return new Set([...centres].flatMap(centre => this.listFirst(centre, [])).map(({ address }) => address));
    }

    /** The first VMs of a data centre, by name. @param others Names that count beside those of the members. */
    private listFirst(dataCentre: string | undefined, others: readonly string[]): KnownMember[] {
        const added = others.map(id => ({ id, address: "", dataCentre }));
        return [...this.members.values(), ...added]
            .filter(member => member.dataCentre === dataCentre && member.id !== undefined)
            .sort((left, right) => left.id! < right.id! ? -1 : 1)
            .slice(0, neighbourVms);
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
            limits: linkLimits,
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
        const lastOpenAt = this.options.readTime();
        this.peersByAddress.set(address, { address, client, link: undefined, dataCentre: undefined, lastOpenAt });
        client.start();
    }

    /** VMs to which a link is open. */
    listConnected(): string[] {
        return [...this.peersByAddress.values()].flatMap(peer => peer.link === undefined ? [] : [peer.link.peer.id]);
    }

    /** Whether a link to a VM is open. */
    isConnected(vm: string): boolean {
        return this.linksByVm.has(vm);
    }

    /** The process of a VM that opened a link last. */
    findIncarnation(vm: string): number | undefined {
        return this.incarnations.get(vm);
    }

    /** Data centre of a connected VM. */
    findDataCentre(vm: string): string | undefined {
        return this.linksByVm.get(vm)?.peer.dataCentre;
    }

    /**
     * Time since any VM of another data centre was heard, in milliseconds; undefined if none was ever linked. A link that
     * is closed has been quiet since then.
     */
    readOthersQuietMs(): number | undefined {
        const others = [...this.peersByAddress.values()].filter(({ dataCentre }) =>
            dataCentre !== undefined && dataCentre !== this.options.self.dataCentre
        );
        const now = this.options.readTime();
        const quiet = others.map(({ link, lastOpenAt }) => link?.quietMs ?? now - lastOpenAt);
        return others.length === 0 ? undefined : Math.min(...quiet);
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
        return [...this.members.values()].flatMap(({ id, address, dataCentre }) =>
            id === undefined ? [] : [{ id, address, dataCentre }]
        );
    }

    /** VMs that may be running, this one left out. */
    countLikely(): number {
        return this.members.size;
    }

    broadcast(message: PeerMessage): void {
        const frame = encodeFrame(message);
        for (const peer of this.peersByAddress.values()) {
            peer.link?.sendEncoded(frame, message.type);
        }
    }

    /** Sends to one VM. @returns Whether there is a link to it. */
    send(vm: string, message: PeerMessage): boolean {
        return this.linksByVm.get(vm)?.send(message) ?? false;
    }

    /** Stops trying VMs that have been gone for long. */
    expireGone(): void {
        const now = this.options.readTime();
        for (const peer of this.peersByAddress.values()) {
            if (peer.link === undefined && now - peer.lastOpenAt > forgetMs) {
                peer.client.stop();
                this.peersByAddress.delete(peer.address);
                this.members.delete(peer.address);
            }
        }
    }

    private receiveCaller(peer: NodeIdentity): void {
        this.addPeer({ id: peer.id, address: peer.address, dataCentre: peer.dataCentre });
        this.openLink(peer.address);
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
        if (this.linksByVm.get(link.peer.id) === link) {
            this.linksByVm.delete(link.peer.id);
        }
        peer.lastOpenAt = this.options.readTime();
        this.options.log.recordImportant("peerLost", { peer: link.peer.id, address });
        this.options.onClose(link.peer.id);
    }
}
