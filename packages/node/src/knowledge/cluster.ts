import type { FleetView, Upstream } from "@radishreel/fleet";
import { RouteTable } from "@radishreel/routing";
import type { DecisionLog } from "../decisions.js";
import type { ReadPositions } from "../links/messages.js";
import type { ClusterChange, Member } from "../ports.js";
import { UpstreamRegistry } from "./registry.js";

/**
 * How long an upstream whose entry lapsed during an outage of the store is kept after the outage, in milliseconds.
 * Running upstreams register again within about 2 s.
 */
const lapsedEntryGraceMs = 2100;

/** Key of changes of the configuration. */
const routingChangeKey = "routing";

type VersionChange = Extract<ClusterChange, { kind: "version"; }>;

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
}

/**
 * The state of the cluster on this VM, as read from the store. Changes arrive from the store and from peers, in any
 * order and more than once. For each key only the change with the highest position is applied, so no state is ever
 * reverted to an earlier one. The {@link UpstreamRegistry} decides which incarnation of an upstream is valid.
 */
export class ClusterState {
    private routeTable: RouteTable | undefined;
    private operatorPosition = -1;
    private upstreamPosition = -1;
    private readonly positions = new Map<string, number>();
    private readonly newestChanges = new Map<string, ClusterChange>();
    /**
     * Versions before the newest, by adapter key, oldest first. A VM that lacks them must learn when the first was
     * published.
     */
    private readonly olderVersions = new Map<string, VersionChange[]>();
    private readonly registry = new UpstreamRegistry();
    private readonly lapsedNames = new Set<string>();
    private hasReadUpstreams = false;
    private hasStoreContact = false;
    private storeRegainedAt = -Infinity;
    private readonly readBoot: () => number;

    constructor(private readonly options: ClusterStateOptions) {
        this.readBoot = options.readBoot ?? options.readTime;
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
        const change = this.newestChanges.get(routingChangeKey);
        return change?.kind === "routing" ? change : undefined;
    }

    /** Positions up to which changes were read from the store or from peers. */
    get readPositions(): ReadPositions {
        return { operator: this.operatorPosition, upstreams: this.upstreamPosition };
    }

    /** Lists the changes that a VM which has read up to these positions lacks. */
    listChangesAfter(positions: ReadPositions): ClusterChange[] {
        const olderVersions = [...this.olderVersions.values()].flat();
        return [...olderVersions, ...this.newestChanges.values()]
            .filter(change => change.position > readPositionFor(positions, change))
            .map(change => this.updateAge(change));
    }

    /** Lists changes that the operator wrote after a position. */
    listOperatorChangesAfter(position: number): ClusterChange[] {
        return this.listChangesAfter({ operator: position, upstreams: Infinity });
    }

    /**
     * Applies changes.
     * @param from Source of the changes, for the log: "store" or the name of the VM that forwarded them.
     * @returns The changes that were new, with ages as of now, to be forwarded to other VMs.
     */
    applyChanges(changes: readonly ClusterChange[], from = "store"): ClusterChange[] {
        const newChanges = changes.filter(change => this.applyChange(change, from));
        if (newChanges.length > 0) {
            this.options.onChange();
        }
        return newChanges.map(change => this.updateAge(change));
    }

    /** Applies the complete list of registered upstreams: upstreams that are not in it are removed. */
    applyUpstreamList(names: ReadonlySet<string>, position: number): void {
        for (const { upstream } of this.options.view.listUpstreams()) {
            const isOlder = this.registry.readEntryPosition(upstream.name) < position;
            if (!names.has(upstream.name) && isOlder) {
                this.applyRemoval(upstream.name, position);
            }
        }
        this.hasReadUpstreams = true;
        this.options.onChange();
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
     * Removes upstreams whose entries lapsed around an outage of the store and did not come back. The grace period
     * starts at the end of the outage: an entry that is removed shortly after the outage must not be kept for a full
     * period more, since its upstream is leaving.
     */
    expireLapsed(): void {
        const now = this.options.readTime();
        if (!this.hasStoreContact || now < this.storeRegainedAt + lapsedEntryGraceMs) {
            return;
        }
        for (const name of this.lapsedNames) {
            this.removeGoneUpstream(name, "entry lapsed and was not registered again");
        }
        this.lapsedNames.clear();
    }

    private applyChange(change: ClusterChange, from: string): boolean {
        if (change.kind === "upstream" || change.kind === "upstreamGone") {
            return this.applyRegistration(change, from);
        }
        const changeKey = formatChangeKey(change);
        if ((this.positions.get(changeKey) ?? -1) >= change.position) {
            if (change.kind === "version") {
                this.applyOlderVersion(change);
            }
            return false;
        }
        this.recordOlderVersion(this.newestChanges.get(changeKey));
        this.positions.set(changeKey, change.position);
        this.newestChanges.set(changeKey, change);
        this.recordPosition(change);
        switch (change.kind) {
            case "routing":
                this.applyRouting(change);
                break;
            case "version":
                this.applyVersion(change);
                break;
            case "member":
                this.options.onMember(change.member);
                break;
        }
        return true;
    }

    /** Applies a version as of the earliest time at which it may have been published, not of its arrival here. */
    private applyVersion({ key, version, ageMs }: VersionChange): void {
        const since = ageMs === undefined ? -Infinity : this.readBoot() - ageMs;
        this.options.view.versions.update(key, version, since);
        this.options.onVersion?.();
    }

    /**
     * Applies a version older than the newest known one: the time since a replacement counts from the first newer
     * version.
     */
    private applyOlderVersion(change: VersionChange): void {
        if (!this.options.view.versions.has(change.key, change.version)) {
            this.applyVersion(change);
            this.recordOlderVersion(change);
        }
    }

    private recordOlderVersion(change: ClusterChange | undefined): void {
        if (change?.kind !== "version") {
            return;
        }
        const { key } = change;
        const known = [...this.olderVersions.get(key) ?? [], change].sort((left, right) =>
            left.position - right.position
        );
        this.olderVersions.set(key, known.filter(({ version }) => this.options.view.versions.has(key, version)));
    }

    /** Creates a copy of the change with the current age of its version. */
    private updateAge(change: ClusterChange): ClusterChange {
        if (change.kind !== "version") {
            return change;
        }
        const since = this.options.view.versions.findSince(change.key, change.version);
        return { ...change, ageMs: since === undefined ? undefined : Math.max(0, this.readBoot() - since) };
    }

    private applyRegistration(
        change: Extract<ClusterChange, { kind: "upstream" | "upstreamGone"; }>,
        from: string,
    ): boolean {
        this.recordPosition(change);
        const isNew = change.kind === "upstream"
            ? this.applyEntry(change.upstream, change.position, from)
            : this.applyRemoval(change.name, change.position);
        if (isNew) {
            this.newestChanges.set(formatChangeKey(change), change);
        }
        return isNew;
    }

    private recordPosition(change: ClusterChange): void {
        if (isOperatorChange(change)) {
            this.operatorPosition = Math.max(this.operatorPosition, change.position);
        }
        else if (change.kind !== "member") {
            this.upstreamPosition = Math.max(this.upstreamPosition, change.position);
        }
    }

    private applyRouting(change: Extract<ClusterChange, { kind: "routing"; }>): void {
        if (change.routing.version < (this.routeTable?.routing.version ?? -Infinity)) {
            return;
        }
        this.routeTable = new RouteTable(change.routing);
        this.options.log.recordImportant("routingInForce", {
            version: change.routing.version,
            position: change.position,
            routes: change.routing.routes.length,
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
        if (known !== undefined && (known.id !== upstream.id || outcome === "gone")) {
            this.removeGoneUpstream(known.name, outcome === "gone" ? "entry removed" : "restarted");
        }
        if (outcome === "present") {
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
            log.recordImportant("upstreamLeaving", { upstream: id, service, position, from, remainingMs });
        }
    }

    private findUpstreamByName(name: string): Upstream | undefined {
        return this.options.view.listUpstreams().find(({ upstream }) => upstream.name === name)?.upstream;
    }

    private applyRemoval(name: string, position: number): boolean {
        const outcome = this.registry.applyRemoval(name, position);
        if (outcome === "gone") {
            this.removeUnregisteredUpstream(name);
        }
        return outcome === "gone";
    }

    private removeUnregisteredUpstream(name: string): void {
        const now = this.options.readTime();
        const reachableForMs = now - this.storeRegainedAt;
        const upstream = this.findUpstreamByName(name);
        const isNearOutage = !this.hasStoreContact || reachableForMs < lapsedEntryGraceMs;
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

function isOperatorChange(change: ClusterChange): boolean {
    return change.kind === "routing" || change.kind === "version";
}

function readPositionFor(positions: ReadPositions, change: ClusterChange): number {
    return isOperatorChange(change) ? positions.operator : positions.upstreams;
}

/** Formats the key of a change: a change replaces earlier positions of the same key. */
function formatChangeKey(change: ClusterChange): string {
    switch (change.kind) {
        case "routing":
            return routingChangeKey;
        case "upstream":
            return `upstream ${change.upstream.name}`;
        case "upstreamGone":
            return `upstreamGone ${change.name}`;
        case "version":
            return `version ${change.key}`;
        case "member":
            return `member ${change.member.id}`;
    }
}
