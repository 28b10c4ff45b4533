import type { FleetView, Upstream } from "@radishreel/fleet";
import { RouteTable } from "@radishreel/routing";
import type { DecisionLog } from "../decisions.js";
import type { ReadPositions } from "../links/messages.js";
import type { ClusterChange, Member } from "../ports.js";
import { Registry } from "./registry.js";

/**
 * How long after the store is back an upstream whose entry lapsed meanwhile is kept, in milliseconds: living ones
 * register again within about two seconds.
 */
const lapseGraceMs = 2100;

/** Names the configuration among what changes are about. */
const routingItem = "routing";

type VersionChange = Extract<ClusterChange, { kind: "version"; }>;

/** Options of {@link ClusterState}. */
export interface ClusterStateOptions {
    readonly view: FleetView;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Time that goes on while the VM is suspended, in milliseconds. @default readTime */
    readonly readBoot?: (() => number) | undefined;
    /** Something that requests may wait for has changed. */
    readonly onChange: () => void;
    readonly onUpstreamGone: (id: string) => void;
    /** An entry of an upstream is in force. */
    readonly onUpstream?: ((upstream: Upstream) => void) | undefined;
    /** A version of an adapter was learned. */
    readonly onVersion?: (() => void) | undefined;
    readonly onMember: (member: Member) => void;
}

/**
 * What the store said, in force on this VM. Changes come from the store and from peers, in any order and more than once;
 * for each item only the one with the highest position counts, so that nothing ever goes back. Which incarnation of an
 * upstream counts is for the {@link Registry} to say.
 */
export class ClusterState {
    private table: RouteTable | undefined;
    private operatorPosition = -1;
    private upstreamPosition = -1;
    private readonly positions = new Map<string, number>();
    private readonly changes = new Map<string, ClusterChange>();
    /** Versions before the newest, by adapter key, oldest first: who lacks them must know when the first one was named. */
    private readonly replaced = new Map<string, VersionChange[]>();
    private readonly registry = new Registry();
    private readonly lapsed = new Set<string>();
    private hasUpstreams = false;
    private hasStore = false;
    private storeBackAt = -Infinity;
    private readonly readBoot: () => number;

    constructor(private readonly options: ClusterStateOptions) {
        this.readBoot = options.readBoot ?? options.readTime;
    }

    /** Whether routes and upstreams are known: a VM that has just started reads them within some 0.1 s. */
    get isComplete(): boolean {
        return this.table !== undefined && this.hasUpstreams;
    }

    /** Routes in force; undefined until a configuration is known. */
    get routes(): RouteTable | undefined {
        return this.table;
    }

    /** The configuration that was read last, with its position; undefined until one is known. */
    findRouting(): Extract<ClusterChange, { kind: "routing"; }> | undefined {
        const change = this.changes.get(routingItem);
        return change?.kind === "routing" ? change : undefined;
    }

    /** How far has been read, from the store or from peers. */
    get readPositions(): ReadPositions {
        return { operator: this.operatorPosition, upstreams: this.upstreamPosition };
    }

    /** What a VM that has read so far lacks. */
    listChangesAfter(positions: ReadPositions): ClusterChange[] {
        const replaced = [...this.replaced.values()].flat();
        return [...replaced, ...this.changes.values()]
            .filter(change => change.position > readKindPosition(positions, change))
            .map(change => this.updateAge(change));
    }

    /** What the operator has written after a position. */
    listOperatorChangesAfter(position: number): ClusterChange[] {
        return this.listChangesAfter({ operator: position, upstreams: Infinity });
    }

    /**
     * Takes changes, and returns those that were new, as other VMs are told of them.
     * @param from Where they come from, for the log: the store, or the VM that has passed them on.
     */
    applyChanges(changes: readonly ClusterChange[], from = "store"): ClusterChange[] {
        const fresh = changes.filter(change => this.applyChange(change, from));
        if (fresh.length > 0) {
            this.options.onChange();
        }
        return fresh.map(change => this.updateAge(change));
    }

    /** Takes the whole list of registered upstreams: those that are missing in it are gone. */
    applyUpstreamList(names: ReadonlySet<string>, position: number): void {
        for (const { upstream } of this.options.view.listUpstreams()) {
            const isOlder = this.registry.readEntryPosition(upstream.name) < position;
            if (!names.has(upstream.name) && isOlder) {
                this.applyRemoval(upstream.name, position);
            }
        }
        this.hasUpstreams = true;
        this.options.onChange();
    }

    /** Takes word whether this VM reaches the store. */
    setReachable(isReachable: boolean): void {
        if (isReachable && !this.hasStore) {
            this.storeBackAt = this.options.readTime();
        }
        this.hasStore = isReachable;
    }

    get isStoreReachable(): boolean {
        return this.hasStore;
    }

    /**
     * Drops upstreams whose entries lapsed around an outage of the store and did not come back. The time counts from its
     * return: an entry that is removed soon after it must not be kept for as long again, since its upstream leaves.
     */
    expireLapsed(): void {
        const now = this.options.readTime();
        if (!this.hasStore || now < this.storeBackAt + lapseGraceMs) {
            return;
        }
        for (const name of this.lapsed) {
            this.removeGoneUpstream(name, "entry lapsed and did not come back");
        }
        this.lapsed.clear();
    }

    private applyChange(change: ClusterChange, from: string): boolean {
        if (change.kind === "upstream" || change.kind === "upstreamGone") {
            return this.applyRegistration(change, from);
        }
        const item = formatItem(change);
        if ((this.positions.get(item) ?? -1) >= change.position) {
            if (change.kind === "version") {
                this.applyMissedVersion(change);
            }
            return false;
        }
        this.recordReplaced(this.changes.get(item));
        this.positions.set(item, change.position);
        this.changes.set(item, change);
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

    /** A version counts from when it may have been named: what this VM learns late was in force before. */
    private applyVersion({ key, version, ageMs }: VersionChange): void {
        const since = ageMs === undefined ? -Infinity : this.readBoot() - ageMs;
        this.options.view.versions.update(key, version, since);
        this.options.onVersion?.();
    }

    /** A version before the newest that is known here: the time since a replacement counts from the first newer one. */
    private applyMissedVersion(change: VersionChange): void {
        if (!this.options.view.versions.has(change.key, change.version)) {
            this.applyVersion(change);
            this.recordReplaced(change);
        }
    }

    private recordReplaced(change: ClusterChange | undefined): void {
        if (change?.kind !== "version") {
            return;
        }
        const { key } = change;
        const known = [...this.replaced.get(key) ?? [], change].sort((left, right) => left.position - right.position);
        this.replaced.set(key, known.filter(({ version }) => this.options.view.versions.has(key, version)));
    }

    /** A change as it is told now: the age of a version goes on while it is known. */
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
            this.changes.set(formatItem(change), change);
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
        if (change.routing.version < (this.table?.routing.version ?? -Infinity)) {
            return;
        }
        this.table = new RouteTable(change.routing);
        this.options.log.recordImportant("routingInForce", {
            version: change.routing.version,
            position: change.position,
            routes: change.routing.routes.length,
        });
    }

    /** An upstream that has started again is another one: nothing that is known of the one before holds for it. */
    private applyEntry(upstream: Upstream, position: number, from: string): boolean {
        const verdict = this.registry.applyEntry(upstream, position);
        const known = this.findByName(upstream.name);
        if (verdict === "earlier") {
            this.options.log.recordImportant("entryOfEarlierLife", { upstream: upstream.id, known: known?.id });
        }
        if (verdict === "known" || verdict === "earlier") {
            return false;
        }
        if (known !== undefined && (known.id !== upstream.id || verdict === "gone")) {
            this.removeGoneUpstream(known.name, verdict === "gone" ? "entry removed" : "started again");
        }
        if (verdict === "present") {
            // A VM that starts while the store is away learns of upstreams from its peers.
            this.hasUpstreams = true;
            this.lapsed.delete(upstream.name);
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

    private findByName(name: string): Upstream | undefined {
        return this.options.view.listUpstreams().find(({ upstream }) => upstream.name === name)?.upstream;
    }

    private applyRemoval(name: string, position: number): boolean {
        const verdict = this.registry.applyRemoval(name, position);
        if (verdict === "gone") {
            this.removeUpstream(name);
        }
        return verdict === "gone";
    }

    private removeUpstream(name: string): void {
        const now = this.options.readTime();
        const backForMs = now - this.storeBackAt;
        const upstream = this.findByName(name);
        const isAroundOutage = !this.hasStore || backForMs < lapseGraceMs;
        // One that had said that it leaves is gone; one that fell silent while the store was away may still live.
        if (isAroundOutage && upstream !== undefined && this.options.view.isUsable(upstream.id)) {
            this.lapsed.add(name);
            return;
        }
        this.removeGoneUpstream(name, "entry removed");
    }

    private removeGoneUpstream(name: string, why: string): void {
        const upstream = this.findByName(name);
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

function readKindPosition(positions: ReadPositions, change: ClusterChange): number {
    return isOperatorChange(change) ? positions.operator : positions.upstreams;
}

/** Names what a change is about: later positions of the same item replace earlier ones. */
function formatItem(change: ClusterChange): string {
    switch (change.kind) {
        case "routing":
            return routingItem;
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
