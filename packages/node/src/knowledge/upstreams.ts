import { type FleetView, readNumber, type Upstream } from "@radishreel/fleet";
import type { DecisionLog } from "../decisions.js";
import type { ClusterChange } from "../ports.js";
import { explainPosition, rewriteMs, storeOrigin } from "./eras.js";
import { UpstreamRegistry } from "./registry.js";

/** Default time after which the store removes the entry of a silent upstream, in milliseconds. */
const defaultEntryTimeoutMs = 3600;

/** A change of an upstream's registration. */
export type RegistrationChange = Extract<ClusterChange, { kind: "upstream" | "upstreamGone"; }>;

/** Options of {@link UpstreamEntries}. */
export interface UpstreamEntriesOptions {
    readonly view: FleetView;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Called when something changed that requests may wait for. */
    readonly onChange: () => void;
    readonly onUpstreamGone: (id: string) => void;
    /** Called when the entry of an upstream is applied. */
    readonly onUpstream?: ((upstream: Upstream) => void) | undefined;
    /** Time after which the store removes the entry of a silent upstream, in milliseconds. @default 3600 */
    readonly entryTimeoutMs?: number | undefined;
}

/**
 * Applies the entries of upstreams to the view. The {@link UpstreamRegistry} decides which entry is valid. Around an
 * outage of the store two kinds of entries need time: those that lapsed, whose upstreams may run and register again,
 * and doubtful ones, whose upstreams may be gone.
 */
export class UpstreamEntries {
    private readonly registry = new UpstreamRegistry();
    private readonly newestEntries = new Map<string, RegistrationChange>();
    private readonly newestRemovals = new Map<string, RegistrationChange>();
    private readonly lapsedNames = new Set<string>();
    /** Names with doubtful entries, and since when. */
    private readonly doubtfulNames = new Map<string, number>();
    private highestPosition = -1;
    private isRead = false;
    private hasStoreContact = false;
    private storeRegainedAt = -Infinity;

    constructor(private readonly options: UpstreamEntriesOptions) {}

    /** Whether upstreams are known, from the store or, during an outage, from another VM. */
    get hasRead(): boolean {
        return this.isRead;
    }

    /** Highest position up to which changes were read. */
    get position(): number {
        return this.highestPosition;
    }

    get isStoreReachable(): boolean {
        return this.hasStoreContact;
    }

    /** Lists the newest entry and the newest removal of each name. */
    listChanges(): RegistrationChange[] {
        return [...this.newestEntries.values(), ...this.newestRemovals.values()];
    }

    /** Records whether this VM reaches the store. */
    setReachable(isReachable: boolean): void {
        if (isReachable && !this.hasStoreContact) {
            this.beginGrace();
        }
        this.hasStoreContact = isReachable;
    }

    /** Starts the time in which running upstreams register again. */
    beginGrace(): void {
        this.storeRegainedAt = this.options.readTime();
    }

    /** @returns What is known after the change, if the change was new. */
    applyChange(change: RegistrationChange, from: string): RegistrationChange[] {
        this.highestPosition = Math.max(this.highestPosition, change.position);
        if (change.kind === "upstreamGone") {
            return this.applyRemoval(change);
        }
        if (!this.applyEntry(change.upstream, change.position, from)) {
            return [];
        }
        const { name } = change.upstream;
        this.newestEntries.set(name, change);
        if (!this.registry.isDoubtful(name)) {
            return [change];
        }
        // Other VMs may not know that the entry was removed.
        const removal: RegistrationChange = { kind: "upstreamGone", name, position: change.position };
        this.newestRemovals.set(name, removal);
        return [change, removal];
    }

    /**
     * Applies the complete list of registered upstreams: upstreams that are not in it are removed.
     * @param end Position at which the list was read: records from there on are newer.
     * @returns The removals that were new.
     */
    applyList(names: ReadonlySet<string>, end: number): RegistrationChange[] {
        // The last position of the list; the entry at the first offset of an empty list is doubtful at most.
        const position = readNumber(end) === 0 ? end : end - 1;
        const known = this.options.view.listUpstreams().map(({ upstream }) => upstream.name);
        const removals = [...new Set([...known, ...this.doubtfulNames.keys()])]
            .filter(name => !names.has(name) && this.registry.readEntryPosition(name) < end)
            .flatMap(name => this.applyChange({ kind: "upstreamGone", name, position }, storeOrigin));
        this.isRead = true;
        return removals;
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
            this.removeUpstream(name, "entry lapsed and was not registered again");
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
            if (now >= Math.max(since, this.storeRegainedAt) + rewriteMs + entryTimeoutMs) {
                this.doubtfulNames.delete(name);
                this.admitEntry(name);
            }
        }
    }

    private admitEntry(name: string): void {
        this.registry.admitEntry(name);
        this.newestRemovals.delete(name);
        const change = this.newestEntries.get(name);
        if (change?.kind === "upstream") {
            this.options.log.recordImportant("entryAdmitted", { upstream: change.upstream.id });
            this.updateUpstream(change.upstream, change.position, storeOrigin);
            this.options.onChange();
        }
    }

    /** Applies an entry. A restarted upstream is a new upstream: the state of its earlier incarnation is removed. */
    private applyEntry(upstream: Upstream, position: number, from: string): boolean {
        const outcome = this.registry.applyEntry(upstream, position);
        const known = this.findUpstream(upstream.name);
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
            this.removeUpstream(known.name, outcome === "gone" ? "entry removed" : "restarted");
        }
        if (outcome !== "gone") {
            // A VM that starts during an outage of the store learns of upstreams from its peers.
            this.isRead = true;
            this.lapsedNames.delete(upstream.name);
            this.updateUpstream(upstream, position, from);
        }
        return true;
    }

    private applyRemoval(change: Extract<RegistrationChange, { kind: "upstreamGone"; }>): RegistrationChange[] {
        const { name, position } = change;
        const outcome = this.registry.applyRemoval(name, position);
        if (outcome === "known") {
            return [];
        }
        this.newestRemovals.set(name, change);
        if (outcome === "doubtful") {
            this.recordDoubtful(name, position);
            this.removeUpstream(name, "entry removed before the store was restored");
        }
        else {
            this.removeUnregistered(name);
        }
        return [change];
    }

    private recordDoubtful(name: string, position: number): void {
        this.doubtfulNames.set(name, this.options.readTime());
        this.options.log.recordImportant("entryDoubtful", { name, ...explainPosition(position) });
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

    private findUpstream(name: string): Upstream | undefined {
        return this.options.view.listUpstreams().find(({ upstream }) => upstream.name === name)?.upstream;
    }

    private removeUnregistered(name: string): void {
        const reachableForMs = this.options.readTime() - this.storeRegainedAt;
        const upstream = this.findUpstream(name);
        const isNearOutage = !this.hasStoreContact || reachableForMs < rewriteMs;
        // An upstream that announced that it is leaving is gone. Any other may still run and have failed to renew its
        // entry.
        if (isNearOutage && upstream !== undefined && this.options.view.isUsable(upstream.id)) {
            this.lapsedNames.add(name);
            return;
        }
        this.removeUpstream(name, "entry removed");
    }

    private removeUpstream(name: string, why: string): void {
        const upstream = this.findUpstream(name);
        if (upstream === undefined) {
            return;
        }
        this.options.log.recordImportant("upstreamGone", { upstream: upstream.id, service: upstream.service, why });
        this.options.view.removeUpstream(upstream.id);
        this.options.onUpstreamGone(upstream.id);
    }
}
