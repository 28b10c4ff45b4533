import { chooseEngine, EngineAdmission, EnginePlaces, FleetView, prefillTokensPerMs } from "../src/index.js";
import { createNews, createUpstream, limits, model } from "./engine.js";
import { createRandom } from "./play.js";

const adapter = "a1";
const key = `${model}/${adapter}`;

/** Longest delay of an answer's first event that is on time, in milliseconds. */
const aimMs = 1000;

/** Step of virtual time, in milliseconds. */
const stepMs = 2;

/** Time from the end of a prompt to the answer's end, in milliseconds. */
const answerMs = 300;

/** Most times that one request chooses anew. */
const maxRedirects = 4;

/** A load of one adapter's requests on the engines that hold it. */
export interface HerdLoad {
    readonly seed: number;
    readonly vms: number;
    readonly engines: number;
    readonly requestsPerSecond: number;
    readonly promptTokens: number;
    /** Pause between two tellings of an engine's load to all VMs, in milliseconds. */
    readonly newsPauseMs: number;
    readonly lengthMs: number;
}

/** What callers got. */
export interface HerdResult {
    readonly asked: number;
    /** Share of requests whose first event was on time. */
    readonly onTime: number;
    /** Messages that asked an owner, for each request. */
    readonly asks: number;
}

interface HerdEngine {
    readonly id: string;
    readonly admission: EngineAdmission;
    readonly toldOffsetMs: number;
    /** When it has read all prompts that were sent to it. */
    freeAt: number;
    revision: number;
}

interface HerdRun {
    readonly vm: number;
    readonly ticket: number;
    readonly engine: HerdEngine;
    readonly firstAt: number;
    readonly end: () => void;
    readonly begin: () => void;
    hasBegun: boolean;
}

/** Plays requests for one adapter through choices of many VMs and the engines' owners, in virtual time. */
export function runHerd(load: HerdLoad): HerdResult {
    const random = createRandom(load.seed);
    let now = 0;
    const engines = Array.from({ length: load.engines }, (_, index): HerdEngine => {
        const places = new EnginePlaces({ limits, models: [], held: { [key]: 1 }, sequence: 1, now: -1000 });
        return {
            id: `e${index}`,
            admission: new EngineAdmission({ engine: `e${index}`, places, mayUse: () => true }),
            toldOffsetMs: Math.floor(random() * load.newsPauseMs / stepMs) * stepMs,
            freeAt: 0,
            revision: 0,
        };
    });
    const views = Array.from({ length: load.vms }, () => new FleetView());
    const tell = (engine: HerdEngine): void => {
        engine.revision += 1;
        for (const view of views) {
            const { load } = engine.admission;
            const news = { canOrder: false, revision: engine.revision, held: { [key]: 1 }, load };
            view.updateNews("owner", createNews(engine.id, news), now);
        }
    };
    for (const engine of engines) {
        views.forEach(view => view.updateUpstream(createUpstream(engine.id), 0));
        tell(engine);
    }
    const runs = new Set<HerdRun>();
    const demand = { model, adapter, promptTokens: load.promptTokens, outputTokens: 60, parts: [] };
    let [asked, onTime, asks] = [0, 0, 0];

    const arrive = (): void => {
        asked += 1;
        const vm = Math.floor(random() * load.vms);
        const view = views[vm]!;
        for (let redirects = 0; redirects <= maxRedirects; redirects += 1) {
            const choice = chooseEngine({
                view,
                service: { name: "llm", maxConnections: 100, engine: { ...limits, batchSlots: 48 } },
                dataCentre: "z",
                now,
                penalties: new Map(),
                demand,
                longPromptTokens: 14_000,
                findKeptTokens: () => 0,
                canAsk: () => true,
            })!;
            const engine = engines.find(({ id }) => id === choice.state.upstream.id)!;
            asks += 1;
            const answer = engine.admission.ask(`vm${vm}`, {
                ticket: asked,
                model,
                key,
                prefillTokens: choice.prefillTokens,
                kvTokens: load.promptTokens,
                hasLongAnswer: false,
                runMs: 500,
                onTimeMs: aimMs,
                patienceMs: 4000,
                endMs: 5000,
                expectedQueueMs: redirects < maxRedirects ? choice.waitMs : undefined,
            }, now);
            if (answer.kind === "busier") {
                view.updateLoad(engine.id, answer.load, undefined, now);
                continue;
            }
            send(vm, asked, view, engine, choice.prefillTokens);
            return;
        }
    };
    const send = (vm: number, ticket: number, view: FleetView, engine: HerdEngine, backlogTokens: number): void => {
        engine.freeAt = Math.max(engine.freeAt, now) + load.promptTokens / prefillTokensPerMs;
        onTime += engine.freeAt - now <= aimMs ? 1 : 0;
        const share = { upstream: engine.id, backlogTokens, kvTokens: load.promptTokens, hasLongAnswer: false };
        const own = view.addOwnLoad(share, now);
        runs.add({ vm, ticket, engine, firstAt: engine.freeAt, hasBegun: false, ...own });
    };
    for (; now < load.lengthMs; now += stepMs) {
        for (const run of runs) {
            if (!run.hasBegun && now >= run.firstAt) {
                run.hasBegun = true;
                run.begin();
                run.engine.admission.begin(`vm${run.vm}`, run.ticket);
            }
            if (now >= run.firstAt + answerMs) {
                runs.delete(run);
                run.end();
                run.engine.admission.end(`vm${run.vm}`, run.ticket, now);
            }
        }
        for (const engine of engines) {
            if (now % load.newsPauseMs === engine.toldOffsetMs) {
                tell(engine);
            }
        }
        if (random() < load.requestsPerSecond * stepMs / 1000) {
            arrive();
        }
    }
    return { asked, onTime: onTime / asked, asks: asks / asked };
}
