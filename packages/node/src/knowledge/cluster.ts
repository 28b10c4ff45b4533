import { readEra } from "@radishreel/fleet";
import { RouteTable } from "@radishreel/routing";
import type { ReadPositions } from "../links/messages.js";
import type { ClusterChange, Member } from "../ports.js";
import { explainPosition, StoreEra, storeOrigin } from "./eras.js";
import { OperatorState } from "./operator.js";
import { UpstreamEntries, type UpstreamEntriesOptions } from "./upstreams.js";

type MemberChange = Extract<ClusterChange, { kind: "member"; }>;

/** Options of {@link ClusterState}. */
export interface ClusterStateOptions extends UpstreamEntriesOptions {
    /** Boot time, which also counts while the VM is suspended, in milliseconds. @default readTime */
    readonly readBoot?: (() => number) | undefined;
    /** Called when a version of an adapter is learned. */
    readonly onVersion?: (() => void) | undefined;
    readonly onMember: (member: Member) => void;
    /** Called once for each era of the store after the first one that is known, before its changes are applied. */
    readonly onRestored?: ((era: number) => void) | undefined;
}

/**
 * The state of the cluster on this VM, as read from the store. Changes arrive from the store and from peers, in any
 * order and more than once. Positions order the changes of a key over all eras of the store, so no state is ever
 * reverted to an earlier one. {@link OperatorState} and {@link UpstreamEntries} decide which content is newer.
 */
export class ClusterState {
    private routeTable: RouteTable | undefined;
    private readonly operator: OperatorState;
    private readonly upstreams: UpstreamEntries;
    private readonly era: StoreEra;
    private readonly members = new Map<string, MemberChange>();

    constructor(private readonly options: ClusterStateOptions) {
        const { view, readTime, readBoot = readTime, onVersion = () => {} } = options;
        this.operator = new OperatorState({
            versions: view.versions,
            readBoot,
            onRouting: ({ routing, position }) => this.applyRouting(new RouteTable(routing), position),
            onVersion,
        });
        this.upstreams = new UpstreamEntries(options);
        this.era = new StoreEra({
            readTime,
            onRestored: (era, previousEra, from) => this.receiveRestored(era, previousEra, from),
        });
    }

    /** Whether routes and upstreams are known. A newly started VM reads them within about 0.1 s. */
    get isComplete(): boolean {
        return this.routeTable !== undefined && this.upstreams.hasRead;
    }

    /** Routes in use; undefined until a configuration is known. */
    get routes(): RouteTable | undefined {
        return this.routeTable;
    }

    /** Finds the newest configuration with its position; undefined until a configuration is known. */
    findRouting(): Extract<ClusterChange, { kind: "routing"; }> | undefined {
        return this.operator.newestRouting;
    }

    /** Lists the entries of all VMs that were read. */
    listMembers(): Member[] {
        return [...this.members.values()].map(({ member }) => member);
    }

    /** Positions up to which changes were read from the store or from peers. */
    get readPositions(): ReadPositions {
        return { operator: this.operator.position, upstreams: this.upstreams.position };
    }

    /** The newest known era of the store; 0 until one is known. */
    get storeEra(): number {
        return this.era.newest;
    }

    /** Whether the store came back from an older copy just now, and may lack changes that VMs know. */
    get isStoreIncomplete(): boolean {
        return this.era.isIncomplete;
    }

    /** Records an era of the store. @param from Who told this VM: "store" or the name of a VM. */
    updateEra(era: number, from = storeOrigin): void {
        this.era.update(era, from);
    }

    /** Lists the changes that a VM which has read up to these positions lacks. */
    listChangesAfter(positions: ReadPositions): ClusterChange[] {
        return [
            ...this.listOperatorChangesAfter(positions.operator),
            ...[...this.upstreams.listChanges(), ...this.members.values()]
                .filter(change => change.position > positions.upstreams),
        ];
    }

    /** Lists changes that the operator wrote after a position. */
    listOperatorChangesAfter(position: number): ClusterChange[] {
        return this.operator.listChanges().filter(change => change.position > position);
    }

    /**
     * Applies changes.
     * @param from Source of the changes, for the log: "store" or the name of the VM that forwarded them.
     * @returns The changes that were new, with ages as of now, to be forwarded to other VMs.
     */
    applyChanges(changes: readonly ClusterChange[], from = storeOrigin): ClusterChange[] {
        this.updateEra(Math.max(0, ...changes.map(({ position }) => readEra(position))), from);
        const newChanges = changes.flatMap(change => this.applyChange(change, from));
        if (newChanges.length > 0) {
            this.options.onChange();
        }
        return newChanges;
    }

    /**
     * Applies the complete list of registered upstreams: upstreams that are not in it are removed.
     * @param end Position at which the list was read: records from there on are newer.
     * @returns The removals that were new, to be forwarded to other VMs.
     */
    applyUpstreamList(names: ReadonlySet<string>, end: number): ClusterChange[] {
        const removals = this.upstreams.applyList(names, end);
        this.options.onChange();
        return removals;
    }

    /** Records whether this VM reaches the store. */
    setReachable(isReachable: boolean): void {
        this.upstreams.setReachable(isReachable);
    }

    get isStoreReachable(): boolean {
        return this.upstreams.isStoreReachable;
    }

    /** Removes or admits upstreams whose state around an outage of the store is clear by now. */
    expireLapsed(): void {
        this.upstreams.expireLapsed();
    }

    /** @returns What is known after the change, if the change was new. */
    private applyChange(change: ClusterChange, from: string): ClusterChange[] {
        switch (change.kind) {
            case "upstream":
            case "upstreamGone":
                return this.upstreams.applyChange(change, from);
            case "member":
                return this.applyMember(change);
            default: {
                const merged = this.operator.applyChange(change);
                return merged === undefined ? [] : [merged];
            }
        }
    }

    private applyMember(change: MemberChange): ClusterChange[] {
        const { id } = change.member;
        if ((this.members.get(id)?.position ?? -1) >= change.position) {
            return [];
        }
        this.members.set(id, change);
        this.options.onMember(change.member);
        return [change];
    }

    private applyRouting(table: RouteTable, position: number): void {
        this.routeTable = table;
        this.options.log.recordImportant("routingInForce", {
            version: table.routing.version,
            ...explainPosition(position),
            routes: table.routing.routes.length,
        });
    }

    private receiveRestored(era: number, previousEra: number, from: string): void {
        const { operator, upstreams } = this.readPositions;
        this.upstreams.beginGrace();
        this.options.log.recordImportant("storeRestored", {
            era,
            previousEra,
            from,
            operator: explainPosition(operator),
            upstreams: explainPosition(upstreams),
        });
        this.options.onRestored?.(era);
    }
}
