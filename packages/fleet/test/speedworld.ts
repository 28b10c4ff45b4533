import type { Service } from "@radishreel/routing";
import {
    chooseEngine,
    EngineAdmission,
    FleetView,
    type ModelDemand,
    PrefixCache,
    type UpstreamChoice,
} from "../src/index.js";
import {
    createEngineStatus,
    createPlanner,
    createUpstream,
    limits,
    model,
    SimulatedEngine,
} from "./simulatedengine.js";
import { createRandom } from "./workload.js";

/** Prompt tokens that a simulated engine of speed 1 reads in a millisecond. */
const readTokensPerMs = 38.1;

/** Duration of a decode step of an engine of speed 1 with an empty batch, in milliseconds. */
const stepMs = 4.43;

/** Time of a message between two VMs, in milliseconds. */
const transitMs = 1.5;

/** How long an engine keeps the shared part of a prompt, in milliseconds. */
const cacheMs = 20_000;

/** How often a request chooses again because its engine is busier than its VM knew. */
const maxRedirects = 4;

/** Who chooses engines: VMs with learned speeds, VMs without, or an oracle that knows loads and present speeds. */
export type Chooser = "learned" | "constant" | "oracle";

/** Load on a simulated fleet of engines. */
export interface SpeedLoad {
    readonly seed: number;
    /** Speed of each engine as a factor of the nominal speed. */
    readonly speeds: readonly number[];
    readonly vms: number;
    readonly lengthMs: number;
    /** Requests that arrive before this time are not counted. */
    readonly warmUpMs: number;
    /** Factor on the requests per second. @default 1 */
    readonly demand?: number;
    /** Prefixes that long prompts share; engines cache them. @default 200 */
    readonly prefixes?: number;
    /** Share of the time in transient slowdowns. @default 0.15 */
    readonly slowShare?: number;
    /** Age of the statuses of engines when the next ones arrive, in milliseconds. @default 1000 */
    readonly statusMs?: number;
    readonly chooser: Chooser;
    /** Called once per interval of statuses. */
    readonly onStatuses?: (world: SpeedWorld) => void;
}

/** Requests of one kind. */
interface Kind {
    readonly name: string;
    readonly perSecond: number;
    readonly demand: (prefix: number, request: number) => ModelDemand;
    readonly targetMs: number;
}

const longPrompts: Kind = {
    name: "longPrompts",
    perSecond: 110,
    targetMs: 1015,
    demand: (prefix, request) => ({
        model,
        adapter: undefined,
        promptTokens: 9200,
        outputTokens: 60,
        parts: [{ id: `p${prefix}`, tokens: 6300 }, { id: `own${request}`, tokens: 2900 }],
    }),
};

const longAnswers: Kind = {
    name: "longAnswers",
    perSecond: 123,
    targetMs: 807,
    demand: () => ({ model, adapter: undefined, promptTokens: 600, outputTokens: 290, parts: [] }),
};

/** Requests of one kind after the warm-up. */
export interface KindResult {
    sent: number;
    withinTarget: number;
    /** Requests on engines of less than nominal speed, and those of them that were late. */
    onSlow: number;
    lateOnSlow: number;
}

/** A periodic sequence of transient slowdowns of 600 ms, in which a server takes 2.5 times as long. */
export class Slowdowns {
    private readonly starts: number[] = [];

    constructor(random: () => number, lengthMs: number, share: number) {
        const gapMs = share === 0 ? Infinity : slowMs / share - slowMs;
        for (let at = random() * gapMs * 2; at < lengthMs; at += slowMs + random() * gapMs * 2) {
            this.starts.push(at);
        }
    }

    /** Returns when an amount of work is done that begins at some time, in milliseconds of work at full speed. */
    readEnd(from: number, workMs: number): number {
        let at = from;
        let left = workMs;
        for (const start of this.starts) {
            if (start + slowMs <= at) {
                continue;
            }
            if (left <= start - at) {
                break;
            }
            left -= Math.max(0, start - at);
            at = Math.max(at, start);
            const slowLeft = (start + slowMs - at) / slowFactor;
            if (left <= slowLeft) {
                return at + left * slowFactor;
            }
            left -= slowLeft;
            at = start + slowMs;
        }
        return at + left;
    }
}

const slowMs = 600;
const slowFactor = 2.5;

/** Runs functions at simulated times. */
export class Agenda {
    private readonly entries: { readonly at: number; readonly run: (now: number) => void; }[] = [];

    add(at: number, run: (now: number) => void): void {
        let low = 0;
        let high = this.entries.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.entries[middle]!.at > at) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        this.entries.splice(low, 0, { at, run });
    }

    /** Runs all entries up to a time, the earliest first. */
    advance(until: number): void {
        while ((this.entries.at(-1)?.at ?? Infinity) <= until) {
            const { at, run } = this.entries.pop()!;
            run(at);
        }
    }
}

/** An engine that reads prompts one after the other. */
class FleetEngine {
    readonly cached = new Map<string, number>();
    active = 0;
    freeAt = 0;
    revision = 1;

    constructor(
        readonly id: string,
        readonly speed: number,
        readonly slowdowns: Slowdowns,
        readonly admission: EngineAdmission,
        readonly owner: FleetView,
    ) {}

    /** Work to read a prompt at nominal speed, in milliseconds. */
    readWork(demand: ModelDemand, now: number): number {
        const [shared] = demand.parts;
        const isCached = shared !== undefined && now - (this.cached.get(shared.id) ?? -Infinity) <= cacheMs;
        const tokens = demand.promptTokens - (isCached ? shared.tokens : 0);
        return tokens / readTokensPerMs + stepMs * (1 + this.active / 40);
    }

    readFirstEvent(demand: ModelDemand, now: number): number {
        return this.slowdowns.readEnd(Math.max(now, this.freeAt), this.readWork(demand, now) / this.speed);
    }
}

/** One VM. */
interface FleetVm {
    readonly name: string;
    readonly view: FleetView;
    readonly prefixCache: PrefixCache;
}

const service: Service = { name: "llm", maxConnections: 100, engine: limits };

/** VMs that choose among engines of unequal speed, with statuses that are up to a second old. */
export class SpeedWorld {
    readonly engines: FleetEngine[];
    readonly vms: FleetVm[];
    readonly results = new Map<string, KindResult>();
    /** Engines of the requests, in the order of sending. */
    readonly sends: FleetEngine[] = [];
    private readonly agenda = new Agenda();
    private readonly random: () => number;
    private tickets = 0;

    constructor(private readonly load: SpeedLoad) {
        this.random = createRandom(load.seed);
        this.vms = Array.from({ length: load.vms }, (_, index) => ({
            name: `vm${index}`,
            view: new FleetView({ vm: `vm${index}`, features: { hasLearnedSpeeds: load.chooser === "learned" } }),
            prefixCache: new PrefixCache(),
        }));
        this.engines = load.speeds.map((speed, index) => {
            const id = `e${index}`;
            this.vms.forEach(({ view }) => view.updateUpstream(createUpstream(id), 0));
            const owner = this.vms[index % load.vms]!.view;
            const admission = new EngineAdmission({
                engine: id,
                planner: createPlanner(new SimulatedEngine()),
                mayUse: () => true,
                speed: owner.createEngineSpeed(owner.findUpstream(id)!),
            });
            const slowdowns = new Slowdowns(this.random, load.lengthMs + 10_000, load.slowShare ?? 0.15);
            return new FleetEngine(id, speed, slowdowns, admission, owner);
        });
    }

    run(): Map<string, KindResult> {
        const { lengthMs, demand = 1, prefixes = 200 } = this.load;
        const kinds = [longPrompts, longAnswers];
        const perMs = kinds.reduce((sum, { perSecond }) => sum + perSecond, 0) * demand / 1000;
        let nextStatusAt = 0;
        let requests = 0;
        for (let now = 0; now < lengthMs; now += -Math.log(1 - this.random()) / perMs) {
            for (; nextStatusAt <= now; nextStatusAt += this.load.statusMs ?? 1000) {
                this.agenda.advance(nextStatusAt);
                this.sendStatuses(nextStatusAt);
            }
            this.agenda.advance(now);
            const kind = this.random() < longPrompts.perSecond / (perMs / demand * 1000) ? longPrompts : longAnswers;
            const vm = this.vms[Math.floor(this.random() * this.vms.length)]!;
            requests += 1;
            const prefix = Math.floor(this.random() ** 3 * prefixes);
            this.serve(vm, kind, kind.demand(prefix, requests), now, now, 0);
        }
        this.agenda.advance(lengthMs + 10_000);
        return this.results;
    }

    private sendStatuses(now: number): void {
        for (const [index, engine] of this.engines.entries()) {
            engine.revision += 1;
            const status = createEngineStatus(engine.id, { revision: engine.revision, ...engine.admission.status });
            this.vms.forEach(({ view }) => view.updateStatus(`vm${index % this.vms.length}`, status, now));
        }
        this.load.onStatuses?.(this);
    }

    private serve(
        vm: FleetVm,
        kind: Kind,
        demand: ModelDemand,
        startedAt: number,
        now: number,
        redirects: number,
    ): void {
        if (this.load.chooser === "oracle") {
            const best = this.engines
                .map(engine => ({ engine, firstAt: engine.readFirstEvent(demand, now) }))
                .reduce((left, right) => right.firstAt < left.firstAt ? right : left);
            this.send(best.engine, kind, demand, startedAt, now, () => {}, () => {});
            return;
        }
        const choice = this.choose(vm, kind, demand, startedAt, now);
        const engine = this.engines.find(({ id }) => id === choice.state.upstream.id)!;
        this.tickets += 1;
        const ticket = this.tickets;
        const reply = engine.admission.handleRequest(vm.name, {
            ticket,
            model,
            prefillTokens: choice.prefillTokens,
            kvTokens: demand.promptTokens + demand.outputTokens,
            hasLongAnswer: demand.outputTokens > 100,
            runMs: 1000,
            onTimeMs: 500,
            patienceMs: 2000,
            endMs: 10_000,
            expectedQueueMs: redirects < maxRedirects ? choice.waitMs : undefined,
        }, now);
        const receivedAt = now + 2 * transitMs;
        if (reply.kind === "busier") {
            vm.view.updateLoad(engine.id, reply.load, undefined, now);
            this.agenda.add(receivedAt, at => this.serve(vm, kind, demand, startedAt, at, redirects + 1));
            return;
        }
        const own = vm.view.addOwnLoad({
            upstream: engine.id,
            backlogTokens: choice.prefillTokens,
            kvTokens: demand.promptTokens + demand.outputTokens,
            hasLongAnswer: demand.outputTokens > 100,
        }, now);
        this.agenda.add(receivedAt, sentAt =>
            this.send(engine, kind, demand, startedAt, sentAt, at => {
                own.finishPrefill();
                choice.state.health.recordSlowdown((at - sentAt) / Math.max(30, choice.costMs), sentAt, at);
                this.agenda.add(at + transitMs, heardAt => engine.admission.finishPrefill(vm.name, ticket, heardAt));
            }, at => {
                own.finish();
                vm.prefixCache.record(engine.id, demand, at);
                this.agenda.add(at + transitMs, heardAt => engine.admission.finishRequest(vm.name, ticket, heardAt));
            }));
    }

    private choose(vm: FleetVm, kind: Kind, demand: ModelDemand, startedAt: number, now: number): UpstreamChoice {
        return chooseEngine({
            view: vm.view,
            service,
            dataCentre: "z",
            now,
            penalties: new Map(),
            slackMs: startedAt + kind.targetMs - now,
            demand,
            longPromptTokens: 14_000,
            findCachedTokens: id => vm.prefixCache.countCachedTokens(id, demand, now),
            canAskOwner: () => true,
        })!;
    }

    private send(
        engine: FleetEngine,
        kind: Kind,
        demand: ModelDemand,
        startedAt: number,
        now: number,
        onFirst: (at: number) => void,
        onEnd: (at: number) => void,
    ): void {
        const firstAt = engine.readFirstEvent(demand, now);
        engine.freeAt = firstAt;
        engine.active += 1;
        this.sends.push(engine);
        const [shared] = demand.parts;
        if (shared !== undefined) {
            engine.cached.set(shared.id, now);
        }
        const decodeMs = demand.outputTokens * stepMs * (1 + engine.active / 64) / engine.speed;
        this.agenda.add(firstAt, onFirst);
        this.agenda.add(engine.slowdowns.readEnd(firstAt, decodeMs), at => {
            engine.active -= 1;
            onEnd(at);
        });
        if (startedAt >= this.load.warmUpMs) {
            this.record(engine, kind, firstAt - startedAt);
        }
    }

    private record(engine: FleetEngine, { name, targetMs }: Kind, firstMs: number): void {
        const result = this.results.get(name) ?? { sent: 0, withinTarget: 0, onSlow: 0, lateOnSlow: 0 };
        this.results.set(name, result);
        const isLate = firstMs > targetMs;
        const isSlow = engine.speed < 1;
        result.sent += 1;
        result.withinTarget += isLate ? 0 : 1;
        result.onSlow += isSlow ? 1 : 0;
        result.lateOnSlow += isSlow && isLate ? 1 : 0;
    }
}

/** Speeds of the engines of a fleet, of which a quarter is slow. */
export function createSpeeds(count: number): number[] {
    return Array.from({ length: count }, (_, index) => index % 4 === 0 ? 0.55 : 1.2);
}
