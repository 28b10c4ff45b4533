import { UpstreamHealth } from "./health.js";
import { type LoadHandle, type LoadShare, OwnLoad } from "./load.js";
import { PromptHistory } from "./pauses.js";
import { type EngineNews, formatAdapterKey, type Upstream, type UpstreamLoad } from "./types.js";
import { WarmAdapters } from "./warm.js";

/** What one VM knows of one upstream. */
export interface UpstreamState {
    upstream: Upstream;
    /** When it will be gone, if it is taken away at short notice. */
    goneAt: number | undefined;
    /** The newest word of its owner; missing for plain services, and until an owner has spoken. */
    news: EngineNews | undefined;
    /** The VM that sent `news`. */
    owner: string | undefined;
    readonly health: UpstreamHealth;
    /** Adapters that it has held lately, as far as its owners have told. */
    readonly warm: WarmAdapters;
    /** Prompts that it has read lately, for all VMs. */
    readonly prompts: PromptHistory;
}

/** What one VM knows of all upstreams: their entries, what engines hold, and the load that all VMs put on them. */
export class FleetView {
    readonly ownLoad = new OwnLoad();
    private readonly states = new Map<string, UpstreamState>();
    private readonly loadsByVm = new Map<string, Map<string, UpstreamLoad>>();
    private readonly newestVersions = new Map<string, { version: number; knownAt: number; }>();

    /** Takes an upstream's entry. */
    updateUpstream(upstream: Upstream, now: number): void {
        const goneAt = upstream.remainingMs === undefined ? undefined : now + upstream.remainingMs;
        const state = this.states.get(upstream.id);
        if (state === undefined) {
            this.states.set(upstream.id, {
                upstream,
                goneAt,
                news: undefined,
                owner: undefined,
                health: new UpstreamHealth(),
                warm: new WarmAdapters(),
                prompts: new PromptHistory(),
            });
            return;
        }
        state.upstream = upstream;
        state.goneAt = goneAt === undefined ? undefined : Math.min(goneAt, state.goneAt ?? goneAt);
    }

    removeUpstream(id: string): void {
        this.states.delete(id);
    }

    findUpstream(id: string): UpstreamState | undefined {
        return this.states.get(id);
    }

    listUpstreams(): UpstreamState[] {
        return [...this.states.values()];
    }

    /** Upstreams of a service that may get new requests. */
    listUsable(service: string): UpstreamState[] {
        return this.listUpstreams().filter(state => state.upstream.service === service && !state.upstream.isLeaving);
    }

    /**
     * Takes an owner's word about its engine. News of an earlier owner, or older news of the same one, change nothing.
     * @returns Whether it was newer than what was known.
     */
    updateNews(vm: string, news: EngineNews): boolean {
        const state = this.states.get(news.engine);
        if (state === undefined) {
            return false;
        }
        const known = state.news;
        const isOlder = known !== undefined
            && (known.fence > news.fence || (known.fence === news.fence && known.revision >= news.revision));
        if (isOlder) {
            return false;
        }
        for (const key of [...Object.keys(news.held), ...news.coming]) {
            if (known === undefined || !(key in known.held)) {
                state.warm.record(key);
            }
        }
        state.news = news;
        state.owner = vm;
        return true;
    }

    /**
     * Forgets a VM that is gone: its load, and that it may give orders. Its next incarnation counts its messages anew.
     */
    removeVm(vm: string): void {
        this.loadsByVm.delete(vm);
        for (const state of this.states.values()) {
            if (state.owner === vm && state.news !== undefined) {
                state.news = { ...state.news, canOrder: false, revision: -1 };
            }
        }
    }

    /** Takes the whole load that another VM puts on upstreams. */
    updateLoads(vm: string, loads: Map<string, UpstreamLoad>, now: number): void {
        this.loadsByVm.set(vm, loads);
        for (const [id, { largestPrompt }] of loads) {
            this.states.get(id)?.prompts.record(largestPrompt, now);
        }
    }

    /** Counts a request of this VM until it has ended. */
    addOwnLoad(share: LoadShare, now: number): LoadHandle {
        this.states.get(share.upstream)?.prompts.record(share.backlogTokens, now);
        return this.ownLoad.add(share);
    }

    /** Load of one upstream, summed over all VMs; of the prompts only the largest. */
    readLoad(id: string): Omit<UpstreamLoad, "uses"> {
        const sum = { active: 0, backlogTokens: 0, kvTokens: 0, longAnswers: 0, largestPrompt: 0 };
        for (const loads of [this.ownLoad.read(), ...this.loadsByVm.values()]) {
            const load = loads.get(id);
            if (load === undefined) {
                continue;
            }
            sum.active += load.active;
            sum.backlogTokens += load.backlogTokens;
            sum.kvTokens += load.kvTokens;
            sum.longAnswers += load.longAnswers;
            sum.largestPrompt = Math.max(sum.largestPrompt, load.largestPrompt);
        }
        return sum;
    }

    /** Requests under way on one upstream by adapter key, summed over all VMs. */
    countUses(id: string): Map<string, number> {
        const sum = new Map<string, number>();
        for (const loads of [this.ownLoad.read(), ...this.loadsByVm.values()]) {
            for (const [key, uses] of Object.entries(loads.get(id)?.uses ?? {})) {
                sum.set(key, (sum.get(key) ?? 0) + uses);
            }
        }
        return sum;
    }

    /** Version of an adapter that an engine holds; undefined if it does not hold it as far as is known. */
    findHeldVersion(state: UpstreamState, key: string): number | undefined {
        if (state.news !== undefined) {
            return state.news.held[key];
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

    /** Takes word that a version of an adapter exists. */
    updateNewestVersion(key: string, version: number, now: number): void {
        if (version > (this.newestVersions.get(key)?.version ?? 0)) {
            this.newestVersions.set(key, { version, knownAt: now });
        }
    }

    /** Newest version of an adapter, and since when it is known; undefined for adapters that never had another one. */
    findNewestVersion(key: string): { version: number; knownAt: number; } | undefined {
        return this.newestVersions.get(key);
    }
}
