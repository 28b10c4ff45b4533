import { type Link, LinkClient, LinkServer, type NodeIdentity, resolveLinkLimits } from "@radishreel/wire";
import type { DecisionLog } from "./decisions.js";
import { type PeerMessage, peerMessageSchema } from "./messages.js";
import type { Member } from "./ports.js";

/** Heartbeats and the silence after which a link counts as dead, in milliseconds: faults last some seconds. */
const linkLimits = resolveLinkLimits({ heartbeatMs: 400, silenceMs: 1500, maxFrameBytes: 8 * 1024 * 1024 });

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
    lastOpenAt: number;
}

/**
 * Links to all other VMs. Each VM opens one link to each other, sends on those it opened and receives on those opened to
 * it, so that a path that is cut one way shows as a dead link of its own.
 */
export class Peers {
    private readonly server: LinkServer<PeerMessage>;
    private readonly incarnations = new Map<string, number>();
    private readonly leaving = new Set<string>();
    private readonly peersByAddress = new Map<string, Peer>();
    private readonly linksByVm = new Map<string, Link<PeerMessage>>();

    constructor(private readonly options: PeersOptions) {
        this.server = new LinkServer<PeerMessage>({
            host: options.host,
            port: options.port,
            self: () => options.self,
            secret: options.secret,
            schema: peerMessageSchema,
            limits: linkLimits,
            events: {
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

    /** Opens a link to a VM, unless there is one. */
    addPeer(member: { readonly id: string | undefined; readonly address: string; }): void {
        const { self, secret } = this.options;
        if (member.address === self.address || member.address === "" || this.peersByAddress.has(member.address)) {
            return;
        }
        const client = new LinkClient<PeerMessage>({
            address: member.address,
            self: () => self,
            secret,
            schema: peerMessageSchema,
            limits: linkLimits,
            events: {
                onOpen: link => this.receiveOpen(member.address, link),
                onMessage: (link, message) => this.options.onMessage(link.peer.id, message),
                onClose: link => this.receiveClose(member.address, link),
            },
        });
        const peer: Peer = { address: member.address, client, link: undefined, lastOpenAt: this.options.readTime() };
        this.peersByAddress.set(member.address, peer);
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

    /** Takes word of a VM that it is stopping. */
    recordLeaving(vm: string): void {
        this.leaving.add(vm);
    }

    /** Connected VMs that can take over what this one gives up: those that are not stopping themselves. */
    listHeirs(): string[] {
        return this.listConnected().filter(vm => !this.leaving.has(vm));
    }

    /** VMs that are tried, this one left out. */
    listMembers(): Member[] {
        return [...this.peersByAddress.values()].flatMap(peer =>
            peer.link === undefined ? [] : [{ id: peer.link.peer.id, address: peer.address }]
        );
    }

    /** VMs that may be running: connected now, or lost a short time ago. */
    countLikely(): number {
        return this.peersByAddress.size;
    }

    broadcast(message: PeerMessage): void {
        for (const peer of this.peersByAddress.values()) {
            peer.link?.send(message);
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
            }
        }
    }

    private receiveCaller(peer: NodeIdentity): void {
        this.addPeer({ id: peer.id, address: peer.address });
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
