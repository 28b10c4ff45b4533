import type { CrashReport } from "@radishreel/fleet";
import type { DecisionLog } from "../decisions.js";
import type { PeerMessage, ReadPositions } from "../links/messages.js";
import type { ClusterChange, ClusterStore } from "../ports.js";
import type { ClusterState } from "./cluster.js";
import { StoreReaders, usualEntriesPauseMs } from "./readers.js";

/**
 * Pauses between reads in which this VM should learn by itself what another one has read: readers tell how far they are
 * every 250 ms, less than a pause.
 */
const ownReadPauses = 2;

/**
 * A VM whose last call to the store was answered longer ago than this reads for nobody, in milliseconds: a waiting read that
 * has gone silent shows only after 2.7 s, and calls that renew claims are made every 0.4 or 1.2 s.
 */
const maxStoreQuietMs = 1600;

/**
 * Shortest time between two tellings of how far this VM has read while nothing about its reading changes, as a share of the
 * pause between reads: a little less than the time between regular checks. Every answer of the store asks for one as well,
 * which would tell the same over and over.
 */
const tellShare = 2 / 3;

/**
 * Every so many tellings one goes to all VMs, the others only near: other data centres have readers of their own, and most
 * messages of a reader among many VMs would go there. What a VM lacks still shows there in 1 s.
 */
const tellingsNear = 2;

/** VMs that are asked at once whether a configuration is the newest, where no VM reads for the own one. */
const maxConfirmers = 2;

/** Options of {@link ChangeSharing}. */
export interface ChangeSharingOptions {
    readonly vm: string;
    readonly dataCentre: string;
    readonly cluster: ClusterState;
    readonly store: ClusterStore;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    readonly send: (vm: string, message: PeerMessage) => void;
    readonly broadcast: (message: PeerMessage) => void;
    /** Sends to the VMs of the own data centre, or to all where each is linked to each. */
    readonly sendNear: (message: PeerMessage) => void;
    readonly listLinked: () => string[];
    /** Age of the last call to the store that was answered, in milliseconds. */
    readonly readStoreQuietMs: () => number;
    /** What is current of upstreams that have ended under requests. */
    readonly listCrashReports: () => CrashReport[];
    /** Pause between two reads of the entries of upstreams, in milliseconds. @default 300 */
    readonly entriesPauseMs?: number | undefined;
}

/** A VM that has read further than this one. */
interface AheadReader {
    readonly told: ReadPositions;
    readonly since: number;
}

/**
 * How what one VM reads of the store comes to the others. One VM of each data centre reads, the others follow it; a VM whose
 * reading fails follows everybody; and one that has fallen behind what a reader tells asks that one for what it lacks.
 */
export class ChangeSharing {
    private readonly readers: StoreReaders;
    private readonly followers = new Set<string>();
    private readonly followed = new Set<string>();
    /** VMs that have read what this one has not, and since when. */
    private readonly ahead = new Map<string, AheadReader>();
    private couldRead = false;
    private toldAt = -Infinity;
    private tellings = 0;
    /** The VM that this one takes what is read from, as last told; "own" for its own reading. */
    private toldReader: string | undefined;

    constructor(private readonly options: ChangeSharingOptions) {
        this.readers = new StoreReaders(options);
    }

    /** Passes on what has been learned just now. */
    passChanges(changes: readonly ClusterChange[]): void {
        this.passMessage({ type: "changes", changes: [...changes] });
    }

    /** Sends to the VMs for which this one reads the store, or which take word from everybody. */
    passMessage(message: PeerMessage): void {
        for (const vm of this.followers) {
            this.options.send(vm, message);
        }
    }

    /** What a VM is told whose link has just opened. */
    createGreeting(vm: string): PeerMessage[] {
        const isWanted = this.followed.has(vm);
        return [
            ...(isWanted ? [this.createFollow(true)] : []),
            this.createPositions(),
        ];
    }

    receivePositions(vm: string, dataCentre: string, told: ReadPositions, canRead: boolean): void {
        this.readers.update(vm, dataCentre, canRead, this.options.readTime());
        if (this.isBehind(told)) {
            const since = this.ahead.get(vm)?.since ?? this.options.readTime();
            this.ahead.set(vm, { told, since });
        }
        else {
            this.ahead.delete(vm);
        }
    }

    receivePull(vm: string, positions: ReadPositions): void {
        this.options.send(vm, { type: "changes", changes: this.options.cluster.listChangesAfter(positions) });
        // No position tells which reports it lacks: some may have come while it followed a VM that is gone.
        const reports = this.options.listCrashReports();
        if (reports.length > 0) {
            this.options.send(vm, { type: "crashReports", reports });
        }
    }

    receiveFollow(vm: string, isWanted: boolean, positions: ReadPositions): void {
        if (!isWanted) {
            this.followers.delete(vm);
            return;
        }
        this.followers.add(vm);
        this.receivePull(vm, positions);
    }

    removeVm(vm: string): void {
        this.followers.delete(vm);
        this.followed.delete(vm);
        this.readers.removeVm(vm);
        this.ahead.delete(vm);
        this.update();
    }

    /**
     * VMs that may know whether a configuration is the newest: the one that reads for this VM, or else others that read, or
     * any that are linked.
     */
    listConfirmers(): string[] {
        const now = this.options.readTime();
        const reader = this.readers.findReader(now);
        if (reader !== undefined) {
            return [reader];
        }
        const linked = this.options.listLinked();
        const readers = this.readers.listReaders(now).filter(vm => linked.includes(vm));
        return listAny(readers.length > 0 ? readers : linked, maxConfirmers);
    }

    /** Looks again at who reads, and tells how far this VM has read if it does. */
    update(): void {
        const { cluster, store } = this.options;
        const reader = this.readers.findReader(this.options.readTime());
        store.setReading(reader === undefined);
        this.recordReader(reader ?? "own");
        if (reader !== undefined) {
            cluster.setReachable(true);
            this.setFollowed([reader]);
        }
        else {
            this.setFollowed(cluster.isStoreReachable ? [] : this.options.listLinked());
        }
        this.askAhead();
        this.sendPositions();
    }

    private sendPositions(): void {
        const canRead = this.canRead();
        const now = this.options.readTime();
        const hasChanged = canRead !== this.couldRead;
        this.couldRead = canRead;
        if (!hasChanged && (!canRead || now - this.toldAt < this.entriesPauseMs * tellShare)) {
            return;
        }
        this.toldAt = now;
        this.tellings += 1;
        if (hasChanged || this.tellings % tellingsNear === 0) {
            this.options.broadcast(this.createPositions());
        }
        else {
            this.options.sendNear(this.createPositions());
        }
    }

    private get entriesPauseMs(): number {
        return this.options.entriesPauseMs ?? usualEntriesPauseMs;
    }

    private recordReader(reader: string): void {
        if (reader !== this.toldReader) {
            this.toldReader = reader;
            this.options.log.recordImportant("storeReader", { reader, linked: this.options.listLinked().length });
        }
    }

    /** Asks those that have been ahead for long: this VM's own connection, or its place among their followers, is lost. */
    private askAhead(): void {
        const now = this.options.readTime();
        const own = this.options.cluster.readPositions;
        const ownReadMs = ownReadPauses * this.entriesPauseMs;
        for (const [vm, { told, since }] of this.ahead) {
            if (!this.isBehind(told)) {
                this.ahead.delete(vm);
                continue;
            }
            if (now - since < ownReadMs) {
                continue;
            }
            this.ahead.set(vm, { told, since: now });
            this.options.log.recordImportant("behindPeer", { peer: vm, told, own });
            this.options.send(vm, this.followed.has(vm) ? this.createFollow(true) : { type: "pull", positions: own });
        }
    }

    private canRead(): boolean {
        const { store, cluster, readStoreQuietMs } = this.options;
        return store.isReading && cluster.isStoreReachable && readStoreQuietMs() <= maxStoreQuietMs;
    }

    private isBehind(told: ReadPositions): boolean {
        const own = this.options.cluster.readPositions;
        return own.operator < told.operator || own.upstreams < told.upstreams;
    }

    private createPositions(): PeerMessage {
        return { type: "positions", positions: this.options.cluster.readPositions, canRead: this.canRead() };
    }

    private createFollow(isWanted: boolean): PeerMessage {
        return { type: "follow", isWanted, positions: this.options.cluster.readPositions };
    }

    private setFollowed(vms: readonly string[]): void {
        for (const vm of this.followed) {
            if (!vms.includes(vm)) {
                this.followed.delete(vm);
                this.options.send(vm, this.createFollow(false));
            }
        }
        for (const vm of vms) {
            if (!this.followed.has(vm)) {
                this.followed.add(vm);
                this.options.send(vm, this.createFollow(true));
            }
        }
    }
}

/** Some of these VMs, others each time, so that one that does not answer is not asked alone for long. */
function listAny(vms: readonly string[], count: number): string[] {
    const start = Math.floor(Math.random() * vms.length);
    return [...vms.slice(start), ...vms.slice(0, start)].slice(0, count);
}
