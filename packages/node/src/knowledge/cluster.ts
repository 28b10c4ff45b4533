import { type FleetView, readEra, readNumber, type Upstream } from "@radishreel/fleet";
import { RouteTable } from "@radishreel/routing";
import type { DecisionLog } from "../decisions.js";
import type { ReadPositions } from "../links/messages.js";
import type { ClusterChange, Member } from "../ports.js";
import { explainPosition, rewriteMs, StoreEra, storeOrigin } from "./eras.js";
import { type OperatorChange, OperatorState } from "./operator.js";
import { UpstreamRegistry } from "./registry.js";

/** Default time after which the store removes the entry of a silent upstream, in milliseconds. */
export const defaultEntryTimeoutMs = 3600;

type RegistrationChange = Extract<ClusterChange, { kind: "upstream" | "upstreamGone"; }>;

/** Options of {@link ClusterState}. */
export interface ClusterStateOptions {
    readonly view: FleetView;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Boot time, which also counts while the VM is suspended, in milliseconds. @default readTime */
    readonly readBoot?: (() => number) | undefined;
    /** Called when something changed that requests may wait for. */
    readonly onChange: () => void;
    readonly onUpstreamGone: (id: string) => void;
    /** Called when the entry of an upstream is applied. */
    readonly onUpstream?: ((upstream: Upstream) => void) | undefined;
    /** Called when a version of an adapter is learned. */
    readonly onVersion?: (() => void) | undefined;
    readonly onMember: (member: Member) => void;
    /** Called once for each era of the store after the first one that is known, before its changes are applied. */
    readonly onRestored?: ((era: number) => void) | undefined;
    /** Time after which the store removes the entry of a silent upstream, in milliseconds. @default 3600 */
    readonly entryTimeoutMs?: number | undefined;
}

/**
 * The state of the cluster on this VM, as read from the store. Changes arrive from the store and from peers, in any
 * order and more than once. Positions order the changes of a key over all eras of the store, so no state is ever
 * reverted to an earlier one. {@link OperatorState} and {@link UpstreamRegistry} decide which content is newer.
 */
export class ClusterState {
    private routeTable: RouteTable | undefined;
    private upstreamPosition = -1;
    private readonly operator: OperatorState;
    private readonly era: StoreEra;
    /** Newest changes of upstreams and VMs. */
    private readonly newestChanges = new Map<string, ClusterChange>();
    private readonly registry = new UpstreamRegistry();
    private readonly lapsedNames = new Set<string>();
    /** Names with doubtful entries, and since when. */
    private readonly doubtfulNames = new Map<string, number>();
    private hasReadUpstreams = false;
    private hasStoreContact = false;
    private storeRegainedAt = -Infinity;

    constructor(private readonly options: ClusterStateOptions) {
        const { view, readTime, readBoot = readTime, onVersion = () => {} } = options;
        this.operator = new OperatorState({
            versions: view.versions,
            readBoot,
            onRouting: ({ routing, position }) => this.applyRouting(new RouteTable(routing), position),
            onVersion,
        });
        this.era = new StoreEra({
            readTime,
            onRestored: (era, previousEra, from) => {
                const { operator, upstreams } = this.readPositions;
                this.storeRegainedAt = readTime();
                options.log.recordImportant("storeRestored", {
                    era,
                    previousEra,
                    from,
                    operator: explainPosition(operator),
                    upstreams: explainPosition(upstreams),
                });
                options.onRestored?.(era);
            },
        });
    }

    /** Whether routes and upstreams are known. A newly started VM reads them within about 0.1 s. */
    get isComplete(): boolean {
        return this.routeTable !== undefined && this.hasReadUpstreams;
    }

    /** Routes in use; undefined until a configuration is known. */
    get routes(): RouteTable | undefined {
        return this.routeTable;
    }

    /** Finds the newest configuration with its position; undefined until a configuration is known. */
    findRouting(): Extract<ClusterChange, { kind: "routing"; }> | undefined {
        return this.operator.newestRouting;
    }

    /** Positions up to which changes were read from the store or from peers. */
    get readPositions(): ReadPositions {
        return { operator: this.operator.position, upstreams: this.upstreamPosition };
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
            ...[...this.newestChanges.values()].filter(change => change.position > positions.upstreams),
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
        // The last position of the list; the entry at the first offset of an empty list is doubtful at most.
        const position = readNumber(end) === 0 ? end : end - 1;
        const known = this.options.view.listUpstreams().map(({ upstream }) => upstream.name);
        const removals = [...new Set([...known, ...this.doubtfulNames.keys()])]
            .filter(name => !names.has(name) && this.registry.readEntryPosition(name) < end)
            .flatMap(name => this.applyChange({ kind: "upstreamGone", name, position }, storeOrigin));
        this.hasReadUpstreams = true;
        this.options.onChange();
        return removals;
    }

    /** Records whether this VM reaches the store. */
    setReachable(isReachable: boolean): void {
        if (isReachable && !this.hasStoreContact) {
            this.storeRegainedAt = this.options.readTime();
        }
        this.hasStoreContact = isReachable;
    }

    get isStoreReachable(): boolean {
        return this.hasStoreContact;
    }

    /**
     * Removes upstreams whose entries lapsed around an outage of the store and did not come back, and uses upstreams
     * whose doubtful entries outlasted the time after which the store removes entries of silent upstreams. The grace
     * period starts at the end of the outage: an entry that is removed shortly after the outage must not be kept for a
     * full period more, since its upstream is leaving.
     */
    expireLapsed(): void {
        const now = this.options.readTime();
        if (!this.hasStoreContact || now < this.storeRegainedAt + rewriteMs) {
            return;
        }
        for (const name of this.lapsedNames) {
            this.removeGoneUpstream(name, "entry lapsed and was not registered again");
        }
        this.lapsedNames.clear();
        this.admitDoubtful(now);
    }

    private admitDoubtful(now: number): void {
        const { entryTimeoutMs = defaultEntryTimeoutMs } = this.options;
        for (const [name, since] of this.doubtfulNames) {
            if (!this.registry.isDoubtful(name)) {
                this.doubtfulNames.delete(name);
                continue;
            }
            if (now < Math.max(since, this.storeRegainedAt) + rewriteMs + entryTimeoutMs) {
                continue;
            }
            this.doubtfulNames.delete(name);
            this.registry.admitEntry(name);
            this.newestChanges.delete(formatChangeKey({ kind: "upstreamGone", name, position: -1 }));
            const change = this.newestChanges.get(`upstream ${name}`);
            if (change?.kind === "upstream") {
                this.options.log.recordImportant("entryAdmitted", { upstream: change.upstream.id });
                this.updateUpstream(change.upstream, change.position, storeOrigin);
                this.options.onChange();
            }
        }
    }

    /** @returns What is known after the change, if the change was new. */
    private applyChange(change: ClusterChange, from: string): ClusterChange[] {
        switch (change.kind) {
            case "upstream":
            case "upstreamGone":
                this.upstreamPosition = Math.max(this.upstreamPosition, change.position);
                return this.applyRegistration(change, from);
            case "member":
                return this.applyMember(change);
            default: {
                const merged = this.operator.applyChange(change);
                return merged === undefined ? [] : [merged];
            }
        }
    }

    private applyMember(change: Extract<ClusterChange, { kind: "member"; }>): ClusterChange[] {
        const key = formatChangeKey(change);
        if ((this.newestChanges.get(key)?.position ?? -1) >= change.position) {
            return [];
        }
        this.newestChanges.set(key, change);
        this.options.onMember(change.member);
        return [change];
    }

    private applyRegistration(change: RegistrationChange, from: string): ClusterChange[] {
        const isNew = change.kind === "upstream"
            ? this.applyEntry(change.upstream, change.position, from)
            : this.applyRemoval(change.name, change.position);
        if (!isNew) {
            return [];
        }
        this.newestChanges.set(formatChangeKey(change), change);
        const name = change.kind === "upstream" ? change.upstream.name : change.name;
        if (change.kind === "upstreamGone" || !this.registry.isDoubtful(name)) {
            return [change];
        }
        // Other VMs may not know that the entry was removed.
        const removal: ClusterChange = { kind: "upstreamGone", name, position: change.position };
        this.newestChanges.set(formatChangeKey(removal), removal);
        return [change, removal];
    }

    private applyRouting(table: RouteTable, position: number): void {
        this.routeTable = table;
        this.options.log.recordImportant("routingInForce", {
            version: table.routing.version,
            ...explainPosition(position),
            routes: table.routing.routes.length,
        });
    }

    /** Applies an entry. A restarted upstream is a new upstream: the state of its earlier incarnation is removed. */
    private applyEntry(upstream: Upstream, position: number, from: string): boolean {
        const outcome = this.registry.applyEntry(upstream, position);
        const known = this.findUpstreamByName(upstream.name);
        if (outcome === "earlier") {
            this.options.log.recordImportant("entryOfEarlierLife", { upstream: upstream.id, known: known?.id });
        }
        if (outcome === "known" || outcome === "earlier") {
            return false;
        }
        if (outcome === "doubtful" && !this.lapsedNames.has(upstream.name)) {
            this.recordDoubtful(upstream.name, position);
            return true;
        }
        if (outcome === "doubtful") {
            // The removal was an effect of the outage, and this VM still uses the upstream.
            this.registry.admitEntry(upstream.name);
        }
        if (known !== undefined && (known.id !== upstream.id || outcome === "gone")) {
            this.removeGoneUpstream(known.name, outcome === "gone" ? "entry removed" : "restarted");
        }
        if (outcome === "present" || outcome === "doubtful") {
            // A VM that starts during an outage of the store learns of upstreams from its peers.
            this.hasReadUpstreams = true;
            this.lapsedNames.delete(upstream.name);
            this.updateUpstream(upstream, position, from);
        }
        return true;
    }

    private updateUpstream(upstream: Upstream, position: number, from: string): void {
        const { view, log, readTime } = this.options;
        const wasLeaving = view.findUpstream(upstream.id)?.upstream.isLeaving === true;
        view.updateUpstream(upstream, readTime());
        this.options.onUpstream?.(upstream);
        if (upstream.isLeaving && !wasLeaving) {
            const { id, service, remainingMs } = upstream;
            log.recordImportant("upstreamLeaving", {
                upstream: id,
                service,
                ...explainPosition(position),
                from,
                remainingMs,
            });
        }
    }

    private findUpstreamByName(name: string): Upstream | undefined {
        return this.options.view.listUpstreams().find(({ upstream }) => upstream.name === name)?.upstream;
    }

    private applyRemoval(name: string, position: number): boolean {
        const outcome = this.registry.applyRemoval(name, position);
        if (outcome === "known") {
            return false;
        }
        if (outcome === "doubtful") {
            this.recordDoubtful(name, position);
            this.removeGoneUpstream(name, "entry removed before the store was restored");
        }
        else {
            this.removeUnregisteredUpstream(name);
        }
        return true;
    }

    private recordDoubtful(name: string, position: number): void {
        this.doubtfulNames.set(name, this.options.readTime());
        this.options.log.recordImportant("entryDoubtful", { name, ...explainPosition(position) });
    }

    private removeUnregisteredUpstream(name: string): void {
        const now = this.options.readTime();
        const reachableForMs = now - this.storeRegainedAt;
        const upstream = this.findUpstreamByName(name);
        const isNearOutage = !this.hasStoreContact || reachableForMs < rewriteMs;
        // An upstream that announced that it is leaving is gone. Any other may still run and have failed to renew its
        // entry.
        if (isNearOutage && upstream !== undefined && this.options.view.isUsable(upstream.id)) {
            this.lapsedNames.add(name);
            return;
        }
        this.removeGoneUpstream(name, "entry removed");
    }

    private removeGoneUpstream(name: string, why: string): void {
        const upstream = this.findUpstreamByName(name);
        if (upstream === undefined) {
            return;
        }
        this.options.log.recordImportant("upstreamGone", { upstream: upstream.id, service: upstream.service, why });
        this.options.view.removeUpstream(upstream.id);
        this.options.onUpstreamGone(upstream.id);
    }
}

/** Formats the key of a change: a change replaces earlier positions of the same key. */
function formatChangeKey(change: Exclude<ClusterChange, OperatorChange>): string {
    switch (change.kind) {
        case "upstream":
            return `upstream ${change.upstream.name}`;
        case "upstreamGone":
            return `upstreamGone ${change.name}`;
        case "member":
            return `member ${change.member.id}`;
    }
}
