import { Departures } from "./departures.js";
import { UpstreamHealth } from "./health.js";
import { LoadCounter, type LoadHandle, type LoadShare, noLoad } from "./load.js";
import { PromptHistory } from "./pauses.js";
import { UpstreamRests } from "./rests.js";
import { type EngineNews, formatAdapterKey, type Upstream, type UpstreamLoad } from "./types.js";
import { AdapterVersions, type AdapterVersionsOptions } from "./versions.js";
import { WarmAdapters } from "./warm.js";

/** What one VM knows of one upstream. */
export interface UpstreamState {
    upstream: Upstream;
    /** Since when this VM knows that it leaves; undefined if it does not leave as far as is known. */
    leavingSince: number | undefined;
    /** When it will be gone, if it is taken away at short notice. */
    goneAt: number | undefined;
    /** The newest word of its owner; missing for plain services, and until an owner has spoken. */
    news: EngineNews | undefined;
    /** The VM that sent `news`. */
    owner: string | undefined;
    /** What this VM itself had on the engine when `news` came: its owner has counted that. */
    ownLoadAtNews: Readonly<UpstreamLoad>;
    readonly health: UpstreamHealth;
    /** Adapters that it has held lately, as far as its owners have told. */
    readonly warm: WarmAdapters;
    /** Prompts that it has read lately, for all VMs. */
    readonly prompts: PromptHistory;
}

/** What an engine's owner tells of one adapter. */
export interface AdapterNews {
    readonly key: string;
    /** Undefined if it is not loaded. */
    readonly version: number | undefined;
    readonly isComing: boolean;
}

/** What is known of an engine's adapters, with word of one of them. */
function mergeAdapter(news: EngineNews, adapter: AdapterNews | undefined): Pick<EngineNews, "held" | "coming"> {
    const { held, coming } = news;
    if (adapter === undefined) {
        return { held, coming };
    }
    const { key, version, isComing } = adapter;
    return {
        held: version === undefined ? held : { ...held, [key]: version },
        coming: isComing && !coming.includes(key) ? [...coming, key] : coming,
    };
}

/** What one VM knows of all upstreams: their entries, what engines hold, and how loaded they are. */
export class FleetView {
    private readonly ownLoad = new LoadCounter();
    private readonly states = new Map<string, UpstreamState>();
    private readonly departures = new Departures();
    /** Rests that upstreams have asked of this VM. */
    readonly rests = new UpstreamRests();
    /** Versions of adapters that the operator has named. Their times are in boot time. */
    readonly versions: AdapterVersions;

    constructor(options: AdapterVersionsOptions = {}) {
        this.versions = new AdapterVersions(options);
    }

    /** Takes an upstream's entry. */
    updateUpstream(upstream: Upstream, now: number): void {
        const goneAt = upstream.remainingMs === undefined ? undefined : now + upstream.remainingMs;
        const state = this.states.get(upstream.id);
        if (state === undefined) {
            this.states.set(upstream.id, {
                upstream,
                leavingSince: this.isLeaving(upstream) ? now : undefined,
                goneAt,
                news: undefined,
                owner: undefined,
                ownLoadAtNews: noLoad,
                health: new UpstreamHealth(),
                warm: new WarmAdapters(),
                prompts: new PromptHistory(),
            });
            return;
        }
        state.upstream = upstream;
        state.leavingSince = this.isLeaving(upstream) ? state.leavingSince ?? now : undefined;
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

    /**
     * Takes an upstream's own word that it leaves. No entry takes it back.
     * @returns Whether it was not known, neither from the upstream nor from its entry.
     */
    recordLeaving(id: string, now: number): boolean {
        const state = this.states.get(id);
        const isNew = this.departures.add(id) && state?.upstream.isLeaving !== true;
        if (state !== undefined) {
            state.leavingSince ??= now;
        }
        return isNew;
    }

    /** Upstreams that stand and have said themselves that they leave, while their entries do not. */
    listDeparting(): string[] {
        return this.listUpstreams().map(({ upstream }) => upstream)
            .filter(({ id, isLeaving }) => !isLeaving && this.departures.has(id))
            .map(({ id }) => id);
    }

    private isLeaving({ id, isLeaving }: Upstream): boolean {
        return isLeaving || this.departures.has(id);
    }

    /** Whether an upstream may get new requests: its entry stands, and neither that nor itself says that it leaves. */
    isUsable(id: string): boolean {
        const state = this.states.get(id);
        return state !== undefined && !this.isLeaving(state.upstream);
    }

    /** Upstreams of a service that may get a request of this VM now: those that do not rest. */
    listAwake(service: string, now: number): UpstreamState[] {
        return this.listUsable(service).filter(({ upstream }) => !this.rests.isResting(upstream.id, now));
    }

    /** Upstreams of a service that may get new requests. */
    listUsable(service: string): UpstreamState[] {
        return this.listUpstreams().filter(({ upstream }) => upstream.service === service && !this.isLeaving(upstream));
    }

    /**
     * Takes an owner's word about its engine. News of an earlier owner, or older news of the same one, change nothing.
     * @returns Whether it was newer than what was known.
     */
    updateNews(vm: string, news: EngineNews, now: number): boolean {
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
        state.owner = news.isOwned ? vm : undefined;
        state.ownLoadAtNews = { ...this.ownLoad.read(news.engine) };
        state.prompts.record(news.load.largestPrompt, now);
        return true;
    }

    /** Takes an owner's word about the load on its engine and about one adapter, between two of its news. */
    updateLoad(id: string, load: Readonly<UpstreamLoad>, adapter: AdapterNews | undefined, now: number): void {
        const state = this.states.get(id);
        if (state?.news === undefined) {
            return;
        }
        state.news = { ...state.news, load, ...mergeAdapter(state.news, adapter) };
        state.ownLoadAtNews = { ...this.ownLoad.read(id) };
        state.prompts.record(load.largestPrompt, now);
    }

    /** Forgets that a VM that is gone may give orders. Its next incarnation counts its messages anew. */
    removeVm(vm: string): void {
        for (const state of this.states.values()) {
            if (state.owner === vm && state.news !== undefined) {
                state.news = { ...state.news, canOrder: false, revision: -1 };
            }
        }
    }

    /** Counts a request of this VM until it has ended. */
    addOwnLoad(share: LoadShare, now: number): LoadHandle {
        this.states.get(share.upstream)?.prompts.record(share.backlogTokens, now);
        return this.ownLoad.add(share);
    }

    /**
     * Load of one upstream: what its owner last told, and what this VM has changed since. Of a plain server, which has no
     * owner, only this VM's own requests are known.
     */
    readLoad(id: string): UpstreamLoad {
        const own = this.ownLoad.read(id);
        const state = this.states.get(id);
        if (state?.news === undefined) {
            return own;
        }
        const { load } = state.news;
        const before = state.ownLoadAtNews;
        return {
            active: Math.max(own.active, load.active + own.active - before.active),
            backlogTokens: Math.max(own.backlogTokens, load.backlogTokens + own.backlogTokens - before.backlogTokens),
            kvTokens: Math.max(own.kvTokens, load.kvTokens + own.kvTokens - before.kvTokens),
            longAnswers: Math.max(own.longAnswers, load.longAnswers + own.longAnswers - before.longAnswers),
            largestPrompt: Math.max(own.largestPrompt, load.largestPrompt),
        };
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
}
