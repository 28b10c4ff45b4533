import { UpstreamActivity } from "./activity.js";
import { type AdapterStatus, mergeAdapter } from "./adapterstatus.js";
import { UpstreamBackoffs } from "./backoffs.js";
import { UpstreamHealth } from "./health.js";
import { LeavingUpstreams } from "./leaving.js";
import { UpstreamLimits } from "./limits.js";
import { type CountedRequest, idleLoad, LoadCounter, type LoadHandle } from "./load.js";
import { PromptHistory } from "./pausethreshold.js";
import { EngineSpeed, type KnownSpeed, ServiceSpeeds } from "./speeds/index.js";
import { type CopyRule, moderateCopies } from "./transfers/copyrule.js";
import { type EngineStatus, formatAdapterKey, type Upstream, type UpstreamLoad } from "./types.js";
import { AdapterVersions, type AdapterVersionsOptions } from "./versions.js";
import { WarmAdapters } from "./warmadapters.js";

/** One VM's view of one upstream. */
export interface UpstreamState {
    upstream: Upstream;
    /** When this VM learned that the upstream is leaving; undefined if it is not known to leave. */
    leavingSince: number | undefined;
    /** When the upstream will be gone, if it is shut down at short notice. */
    shutdownAt: number | undefined;
    /** Newest status from the engine's owner; undefined for plain services, and until the first status arrives. */
    status: EngineStatus | undefined;
    /** The VM that sent the newest status, if that VM owns the engine. */
    owner: string | undefined;
    /** This VM's own load on the engine when the newest status arrived; the owner has counted it. */
    ownLoadAtStatus: Readonly<UpstreamLoad>;
    readonly health: UpstreamHealth;
    readonly activity: UpstreamActivity;
    /** Adapters that the engine held recently, by the status reports of its owners. */
    readonly warm: WarmAdapters;
    /** Prompts that the engine read recently, for all VMs. */
    readonly prompts: PromptHistory;
}

/** Lower bound of a slowdown; a response time may be 0 by a coarse clock. */
const minSlowdown = 0.01;

/** Options of {@link FleetView}. */
export interface FleetViewOptions extends AdapterVersionsOptions {
    /** Name of this VM. @default empty */
    readonly vm?: string | undefined;
    readonly features?: {
        /** Whether the choice of an upstream uses learned speeds. @default false */
        readonly hasLearnedSpeeds?: boolean;
    } | undefined;
    /** @default moderateCopies */
    readonly copies?: CopyRule | undefined;
}

/** One VM's view of all upstreams: their entries, the adapters that engines hold, and their load. */
export class FleetView {
    private readonly ownLoad = new LoadCounter();
    private readonly states = new Map<string, UpstreamState>();
    private readonly leavingUpstreams = new LeavingUpstreams();
    /** Backoffs that upstreams have requested from this VM. */
    readonly backoffs = new UpstreamBackoffs();
    /** Limits that upstreams have named to any VM. */
    readonly limits = new UpstreamLimits();
    /** Adapter versions that the operator has announced. Their times are boot time. */
    readonly versions: AdapterVersions;
    /** Learned speeds of upstreams; undefined unless the feature is enabled. */
    readonly speeds: ServiceSpeeds | undefined;

    /** Name of this VM. */
    readonly vm: string;
    /** What a further copy of an adapter costs. */
    readonly copies: CopyRule;

    constructor(options: FleetViewOptions = {}) {
        this.vm = options.vm ?? "";
        this.versions = new AdapterVersions(options);
        this.speeds = options.features?.hasLearnedSpeeds === true ? new ServiceSpeeds() : undefined;
        this.copies = options.copies ?? moderateCopies;
    }

    /** Adds an upstream, or updates it to its newest entry. No later entry revokes that it is leaving. */
    updateUpstream(upstream: Upstream, now: number): void {
        if (upstream.isLeaving) {
            this.leavingUpstreams.add(upstream.id);
        }
        const shutdownAt = upstream.remainingMs === undefined ? undefined : now + upstream.remainingMs;
        const state = this.states.get(upstream.id);
        if (state === undefined) {
            this.states.set(upstream.id, {
                upstream,
                leavingSince: this.isLeaving(upstream) ? now : undefined,
                shutdownAt,
                status: undefined,
                owner: undefined,
                ownLoadAtStatus: idleLoad,
                health: new UpstreamHealth(),
                activity: new UpstreamActivity(),
                warm: new WarmAdapters(),
                prompts: new PromptHistory(),
            });
            return;
        }
        state.upstream = upstream;
        state.leavingSince = this.isLeaving(upstream) ? state.leavingSince ?? now : undefined;
        state.shutdownAt = shutdownAt === undefined
            ? state.shutdownAt
            : Math.min(shutdownAt, state.shutdownAt ?? shutdownAt);
    }

    removeUpstream(id: string): void {
        this.states.delete(id);
        this.speeds?.removeUpstream(id);
    }

    findUpstream(id: string): UpstreamState | undefined {
        return this.states.get(id);
    }

    listUpstreams(): UpstreamState[] {
        return [...this.states.values()];
    }

    /**
     * Records an upstream's announcement that it is leaving. No later entry revokes it.
     * @returns Whether this VM did not know it yet, neither from the upstream nor from its entry.
     */
    recordLeaving(id: string, now: number): boolean {
        const state = this.states.get(id);
        const isNew = this.leavingUpstreams.add(id) && state?.upstream.isLeaving !== true;
        if (state !== undefined) {
            state.leavingSince ??= now;
        }
        return isNew;
    }

    /** Ids of known upstreams that have announced that they are leaving, while their entries do not show it. */
    listAnnouncedLeaving(): string[] {
        return this.listUpstreams().map(({ upstream }) => upstream)
            .filter(({ id, isLeaving }) => !isLeaving && this.leavingUpstreams.has(id))
            .map(({ id }) => id);
    }

    private isLeaving({ id, isLeaving }: Upstream): boolean {
        return isLeaving || this.leavingUpstreams.has(id);
    }

    /**
     * Whether an upstream may get new requests: it has an entry, and neither the entry nor the upstream says that it
     * leaves.
     */
    isUsable(id: string): boolean {
        const state = this.states.get(id);
        return state !== undefined && !this.isLeaving(state.upstream);
    }

    /** Whether an upstream may get a request of this VM now: it is usable and has not requested backoff. */
    isAvailable(id: string, now: number): boolean {
        return this.isUsable(id) && !this.backoffs.isBackingOff(id, now);
    }

    /**
     * Whether a request may be written to an upstream now.
     * @param hasGrant Whether the coordinator has granted the request a part of the upstream's limit.
     */
    maySend(id: string, hasGrant: boolean, now: number): boolean {
        return this.isAvailable(id, now) && (hasGrant || this.limits.find(id) === undefined);
    }

    /** Upstreams of a service that may get a request of this VM now. */
    listAvailable(service: string, now: number): UpstreamState[] {
        return this.listUsable(service).filter(({ upstream }) => !this.backoffs.isBackingOff(upstream.id, now));
    }

    /** Upstreams of a service that may get new requests. */
    listUsable(service: string): UpstreamState[] {
        return this.listUpstreams().filter(({ upstream }) => upstream.service === service && !this.isLeaving(upstream));
    }

    /**
     * Applies an engine status from its owner. A status from an earlier owner, or an older one of the same owner, is
     * ignored.
     * @returns Whether the status was newer than the known one.
     */
    updateStatus(vm: string, status: EngineStatus, now: number): boolean {
        const state = this.states.get(status.engine);
        if (state === undefined) {
            return false;
        }
        const known = state.status;
        const isOlder = known !== undefined
            && (known.fence > status.fence || (known.fence === status.fence && known.revision >= status.revision));
        if (isOlder) {
            return false;
        }
        for (const key of [...Object.keys(status.held), ...status.coming]) {
            if (known === undefined || !(key in known.held)) {
                state.warm.record(key);
            }
        }
        state.status = status;
        state.owner = status.isOwned ? vm : undefined;
        state.ownLoadAtStatus = { ...this.ownLoad.read(status.engine) };
        state.prompts.record(status.load.largestPrompt, now);
        return true;
    }

    /** Applies an owner's report on the load of its engine and on one adapter, between two full status messages. */
    updateLoad(id: string, load: Readonly<UpstreamLoad>, adapter: AdapterStatus | undefined, now: number): void {
        const state = this.states.get(id);
        if (state?.status === undefined) {
            return;
        }
        state.status = { ...state.status, load, ...mergeAdapter(state.status, adapter) };
        state.ownLoadAtStatus = { ...this.ownLoad.read(id) };
        state.prompts.record(load.largestPrompt, now);
    }

    /** Records that a VM is gone and cannot give orders. Its next incarnation counts its messages from 0 again. */
    removeVm(vm: string): void {
        for (const state of this.states.values()) {
            if (state.owner === vm && state.status !== undefined) {
                state.status = { ...state.status, canOrder: false, revision: -1 };
            }
        }
    }

    /** Counts a request of this VM until it has finished. */
    addOwnLoad(share: CountedRequest, now: number): LoadHandle {
        this.states.get(share.upstream)?.prompts.record(share.backlogTokens, now);
        return this.ownLoad.add(share);
    }

    /**
     * Speeds of the upstreams of a service relative to their median, by id; undefined if none differs from it by more
     * than a fifth, or if the feature is off.
     */
    readSpeedFactors(service: string, now: number): ReadonlyMap<string, number> | undefined {
        return this.speeds?.readFactors(service, () => this.listSpeeds(service), now);
    }

    /** Known speeds of the upstreams of a service: of engines by their owners, of plain servers by this VM. */
    listSpeeds(service: string): KnownSpeed[] {
        return this.listUsable(service).map(({ upstream: { id }, status }) => ({
            id,
            speed: status?.speed ?? this.speeds?.readServer(id),
        }));
    }

    /**
     * Records the response time of a plain server, in milliseconds.
     * @returns The slowdown against the time expected of this server.
     */
    recordServerResponse(server: Upstream, ms: number, expectedMs: number, now: number): number {
        const { id, service } = server;
        const slowdown = ms / expectedMs;
        this.speeds?.recordServer(id, 1 / Math.max(slowdown, minSlowdown), ms, now);
        return slowdown * (this.readSpeedFactors(service, now)?.get(id) ?? 1);
    }

    /** Creates the learned speed of an engine for its new owner, which starts from the last status. */
    createEngineSpeed({ upstream: { id, service }, status }: UpstreamState): EngineSpeed | undefined {
        return this.speeds === undefined ? undefined : new EngineSpeed({
            initial: status?.speed,
            readFactor: now => {
                const factors = this.readSpeedFactors(service, now);
                return factors === undefined ? undefined : factors.get(id) ?? 1;
            },
        });
    }

    /**
     * Load of one upstream: the load that its owner last reported, adjusted by this VM's own changes since. For a plain
     * server, which has no owner, only this VM's own requests are known.
     */
    readLoad(id: string): UpstreamLoad {
        const own = this.ownLoad.read(id);
        const state = this.states.get(id);
        if (state?.status === undefined) {
            return own;
        }
        const { load } = state.status;
        const before = state.ownLoadAtStatus;
        return {
            active: Math.max(own.active, load.active + own.active - before.active),
            backlogTokens: Math.max(own.backlogTokens, load.backlogTokens + own.backlogTokens - before.backlogTokens),
            kvTokens: Math.max(own.kvTokens, load.kvTokens + own.kvTokens - before.kvTokens),
            longAnswers: Math.max(own.longAnswers, load.longAnswers + own.longAnswers - before.longAnswers),
            largestPrompt: Math.max(own.largestPrompt, load.largestPrompt),
        };
    }

    /** Version of an adapter that an engine holds; undefined if the engine is not known to hold the adapter. */
    findHeldVersion(state: UpstreamState, key: string): number | undefined {
        if (state.status !== undefined) {
            return state.status.held[key];
        }
        for (const model of state.upstream.models) {
            const adapter = model.adapters.find(held => formatAdapterKey(model.name, held.name) === key);
            if (adapter !== undefined) {
                return adapter.version;
            }
        }
        return undefined;
    }

    /** Whether an engine holds a base model. */
    hasModel(state: UpstreamState, model: string): boolean {
        return state.upstream.models.some(held => held.name === model);
    }
}
