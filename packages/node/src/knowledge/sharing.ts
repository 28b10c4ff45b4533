import type { CrashReport } from "@radishreel/fleet";
import type { DecisionLog } from "../decisions.js";
import type { PeerMessage, ReadPositions } from "../links/messages.js";
import type { ClusterChange, ClusterStore } from "../ports.js";
import type { ClusterState } from "./cluster.js";
import { explainPosition } from "./eras.js";
import { defaultEntriesPauseMs, StoreReaders } from "./readers.js";

/**
 * Time after which this VM asks another VM for changes that it lacks, in pauses between reads of the store. The
 * changes usually arrive earlier without a question. Readers send their positions every 250 ms, less than a pause.
 */
const catchUpPauses = 2;

/**
 * A VM does not read for others if its last response from the store is older than this, in milliseconds. A silent
 * connection of a long-polling read is detected only after 2.7 s; renewals of shard leases are sent every 0.4 or 1.2 s.
 */
const maxStoreSilenceMs = 1600;

/**
 * Minimum time between two reports of the read positions while `canRead` does not change, as a share of the pause
 * between reads. This is slightly less than the housekeeping interval. Each response of the store also triggers a
 * report, which would mostly repeat the previous one.
 */
const minReportIntervalShare = 2 / 3;

/**
 * One in this many reports goes to all VMs, the others only to the own data centre. Other data centres have readers of
 * their own, and most messages of a reader among many VMs would go there. A VM there that lacks changes still notices
 * it within 1 s.
 */
const reportsPerBroadcast = 2;

/** Number of VMs that are asked at once whether a configuration is the newest, if no VM reads for this VM. */
const maxConfirmers = 2;

/** Positions of a VM that has read nothing. */
const unreadPositions: ReadPositions = { operator: -1, upstreams: -1 };

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
    /** Sends to the VMs of the own data centre, or to all VMs if all are linked to each other. */
    readonly sendToDataCentre: (message: PeerMessage) => void;
    readonly listLinked: () => string[];
    /** Reads the time since the last call to the store that got a response, in milliseconds. */
    readonly readStoreSilenceMs: () => number;
    /** Lists the current crash reports. */
    readonly listCrashReports: () => CrashReport[];
    /** Pause between two reads of upstream entries from the store, in milliseconds. @default 300 */
    readonly entriesPauseMs?: number | undefined;
}

/** Positions of a VM that has read further than this one. */
interface VmAhead {
    readonly positions: ReadPositions;
    readonly since: number;
}

/**
 * Distributes what one VM reads from the store to the other VMs. One VM of each data centre reads, and the others
 * follow it. A VM that has no reader and cannot reach the store follows all linked VMs. A VM that stays behind the
 * reported positions of another VM asks that VM for the changes it lacks.
 */
export class ChangeSharing {
    private readonly readers: StoreReaders;
    private readonly followers = new Set<string>();
    private readonly followedVms = new Set<string>();
    /** VMs that have read changes which this VM lacks, and since when. */
    private readonly vmsAhead = new Map<string, VmAhead>();
    private reportedCanRead = false;
    private positionsReportedAt = -Infinity;
    private reportCount = 0;
    /** The reader that was last logged; "own" if this VM reads the store itself. */
    private loggedReader: string | undefined;

    constructor(private readonly options: ChangeSharingOptions) {
        this.readers = new StoreReaders(options);
    }

    /** Forwards changes that were new to this VM to its followers. */
    forwardChanges(changes: readonly ClusterChange[]): void {
        this.forwardMessage({ type: "changes", changes: [...changes] });
    }

    /** Sends to all followers: VMs for which this VM reads the store, and VMs that follow all others. */
    forwardMessage(message: PeerMessage): void {
        for (const vm of this.followers) {
            this.options.send(vm, message);
        }
    }

    /** Creates the messages for a VM whose link has just opened. */
    createInitialMessages(vm: string): PeerMessage[] {
        const { cluster } = this.options;
        const isWanted = this.followedVms.has(vm);
        return [
            ...(isWanted ? [this.createFollow(true)] : []),
            this.createPositions(),
            // The VM may have read a restored copy of the store that lacks changes which this VM knows.
            ...(cluster.isStoreIncomplete
                ? [{ type: "changes", changes: cluster.listChangesAfter(unreadPositions) } as const]
                : []),
        ];
    }

    /**
     * Asks other VMs for changes beyond those that this VM has read. Called when the store came back from an older copy,
     * before that is read: changes that it lacks cannot be read there, and positions do not show that they are missing.
     */
    askPeers(): void {
        const { store, cluster, send } = this.options;
        if (!store.isReading) {
            return;
        }
        for (const vm of this.listConfirmers()) {
            send(vm, { type: "pull", positions: cluster.readPositions });
        }
    }

    receivePositions(vm: string, dataCentre: string, positions: ReadPositions, canRead: boolean): void {
        this.readers.update(vm, dataCentre, canRead, this.options.readTime());
        if (this.isBehind(positions)) {
            const since = this.vmsAhead.get(vm)?.since ?? this.options.readTime();
            this.vmsAhead.set(vm, { positions, since });
        }
        else {
            this.vmsAhead.delete(vm);
        }
    }

    receivePull(vm: string, positions: ReadPositions): void {
        this.options.send(vm, { type: "changes", changes: this.options.cluster.listChangesAfter(positions) });
        // Positions don't cover crash reports. The VM may have missed some while it followed a VM that is gone.
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
        this.followedVms.delete(vm);
        this.readers.removeVm(vm);
        this.vmsAhead.delete(vm);
        this.update();
    }

    /**
     * Lists VMs that may know whether a configuration is the newest: the reader of this VM, else other readers, else
     * any linked VMs.
     */
    listConfirmers(): string[] {
        const now = this.options.readTime();
        const reader = this.readers.findReader(now);
        if (reader !== undefined) {
            return [reader];
        }
        const linked = this.options.listLinked();
        const readers = this.readers.listReaders(now).filter(vm => linked.includes(vm));
        return listFromRandomStart(readers.length > 0 ? readers : linked, maxConfirmers);
    }

    /** Updates which VM reads for this one, and reports the positions of this VM if it reads the store. */
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
        this.askVmsAhead();
        this.sendPositions();
    }

    private sendPositions(): void {
        const canRead = this.canRead();
        const now = this.options.readTime();
        const hasChanged = canRead !== this.reportedCanRead;
        this.reportedCanRead = canRead;
        if (
            !hasChanged && (!canRead || now - this.positionsReportedAt < this.entriesPauseMs * minReportIntervalShare)
        ) {
            return;
        }
        this.positionsReportedAt = now;
        this.reportCount += 1;
        if (hasChanged || this.reportCount % reportsPerBroadcast === 0) {
            this.options.broadcast(this.createPositions());
        }
        else {
            this.options.sendToDataCentre(this.createPositions());
        }
    }

    private get entriesPauseMs(): number {
        return this.options.entriesPauseMs ?? defaultEntriesPauseMs;
    }

    private recordReader(reader: string): void {
        if (reader !== this.loggedReader) {
            this.loggedReader = reader;
            this.options.log.recordImportant("storeReader", { reader, linked: this.options.listLinked().length });
        }
    }

    /**
     * Asks VMs that have been ahead for long for the missing changes: either this VM has lost its connection to the
     * store, or the VM ahead no longer has this VM as a follower.
     */
    private askVmsAhead(): void {
        const now = this.options.readTime();
        const own = this.options.cluster.readPositions;
        const catchUpMs = catchUpPauses * this.entriesPauseMs;
        for (const [vm, { positions, since }] of this.vmsAhead) {
            if (!this.isBehind(positions)) {
                this.vmsAhead.delete(vm);
                continue;
            }
            if (now - since < catchUpMs) {
                continue;
            }
            this.vmsAhead.set(vm, { positions, since: now });
            this.options.log.recordImportant("behindPeer", {
                peer: vm,
                told: explainPositions(positions),
                own: explainPositions(own),
            });
            this.options.send(
                vm,
                this.followedVms.has(vm) ? this.createFollow(true) : { type: "pull", positions: own },
            );
        }
    }

    private canRead(): boolean {
        const { store, cluster, readStoreSilenceMs } = this.options;
        return store.isReading && cluster.isStoreReachable && readStoreSilenceMs() <= maxStoreSilenceMs;
    }

    private isBehind(positions: ReadPositions): boolean {
        const own = this.options.cluster.readPositions;
        return own.operator < positions.operator || own.upstreams < positions.upstreams;
    }

    private createPositions(): PeerMessage {
        return { type: "positions", positions: this.options.cluster.readPositions, canRead: this.canRead() };
    }

    private createFollow(isWanted: boolean): PeerMessage {
        return { type: "follow", isWanted, positions: this.options.cluster.readPositions };
    }

    private setFollowed(vms: readonly string[]): void {
        for (const vm of this.followedVms) {
            if (!vms.includes(vm)) {
                this.followedVms.delete(vm);
                this.options.send(vm, this.createFollow(false));
            }
        }
        for (const vm of vms) {
            if (!this.followedVms.has(vm)) {
                this.followedVms.add(vm);
                this.options.send(vm, this.createFollow(true));
            }
        }
    }
}

function explainPositions({ operator, upstreams }: ReadPositions): object {
    return { operator: explainPosition(operator), upstreams: explainPosition(upstreams) };
}

/** Lists some of the VMs from a random start, so that a VM which does not reply is not asked alone repeatedly. */
function listFromRandomStart(vms: readonly string[], count: number): string[] {
    const start = Math.floor(Math.random() * vms.length);
    return [...vms.slice(start), ...vms.slice(0, start)].slice(0, count);
}
