import { EngineAdmission, formatAdapterKey } from "../src/index.js";
import { createPlaces, model, ModelEngine, runPlan } from "./engine.js";

/** Step of virtual time, in milliseconds. */
const stepMs = 5;

/** Answers within this time are on time; callers leave after the second one, in milliseconds. */
export const aimMs = 500;
export const patienceMs = 2250;

/** A load on one engine. */
export interface PlayedLoad {
    readonly seed: number;
    readonly places: number;
    readonly requestsPerSecond: number;
    readonly adapters: number;
    readonly meanRunMs: number;
    readonly lengthMs: number;
    /** Factor on all of the engine's times. @default 1 */
    readonly slowness?: number;
}

/** What callers got. Times in milliseconds. */
export interface PlayedResult {
    readonly asked: number;
    /** Shares of all requests. */
    readonly onTime: number;
    readonly served: number;
    readonly declined: number;
    /** Mean time after which those that were declined were told so. */
    readonly declinedAfterMs: number;
    /** Share of those that were let wait which were served. */
    readonly keptPromises: number;
    /** Loads a request. */
    readonly loads: number;
}

interface PlayedRequest {
    readonly ticket: number;
    readonly arrivedAt: number;
    readonly runMs: number;
    endAt: number | undefined;
}

/** A repeatable source of numbers from 0 to 1. */
export function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}

/** Picks ranks by a Zipf law of exponent 1.2, as demand for adapters is spread. */
function createZipf(count: number, random: () => number): () => number {
    const weights = Array.from({ length: count }, (_, rank) => (rank + 1) ** -1.2);
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    return () => {
        let rest = random() * total;
        const found = weights.findIndex(weight => (rest -= weight) < 0);
        return found < 0 ? count - 1 : found;
    };
}

/** Plays a load through an engine's queue and its plan, in virtual time. */
export function runLoad(load: PlayedLoad): PlayedResult {
    const { slowness = 1 } = load;
    const engine = new ModelEngine(load.places);
    engine.coldLoadMs = 250 * slowness;
    engine.warmLoadMs = 25 * slowness;
    const places = createPlaces(engine, load.places);
    const admission = new EngineAdmission({ engine: "e1", places, mayUse: () => true });
    engine.countRuns = key => admission.countUses(key);
    const random = createRandom(load.seed);
    const pickRank = createZipf(load.adapters, random);
    const waiting = new Map<number, PlayedRequest>();
    const running = new Map<number, PlayedRequest>();
    let [asked, onTime, served, declined, declinedAfter, queued, queuedServed] = [0, 0, 0, 0, 0, 0, 0];
    const start = (request: PlayedRequest): void => {
        served += 1;
        onTime += engine.now - request.arrivedAt <= aimMs ? 1 : 0;
        request.endAt = engine.now + request.runMs;
        running.set(request.ticket, request);
    };
    const decline = (request: PlayedRequest): void => {
        declined += 1;
        declinedAfter += engine.now - request.arrivedAt;
    };
    const arrive = (): void => {
        asked += 1;
        // Callers estimate the length of their answers; it is off by a factor.
        const runMs = load.meanRunMs * slowness * Math.exp((random() + random() - 1) * 1.6) * 0.85;
        const request: PlayedRequest = { ticket: asked, arrivedAt: engine.now, runMs, endAt: undefined };
        const answer = admission.ask("vm", {
            ticket: asked,
            model,
            key: formatAdapterKey(model, `a${pickRank()}`),
            prefillTokens: 500,
            kvTokens: 600,
            hasLongAnswer: false,
            runMs: runMs / slowness * (0.6 + random()),
            onTimeMs: aimMs,
            patienceMs,
            endMs: 6000,
        }, engine.now);
        if (answer.kind === "admitted") {
            start(request);
        }
        else if (answer.kind === "declined") {
            decline(request);
        }
        else {
            queued += 1;
            waiting.set(asked, request);
        }
    };
    while (engine.now < load.lengthMs) {
        engine.advance(stepMs);
        for (const [ticket, { endAt }] of running) {
            if (endAt! <= engine.now) {
                running.delete(ticket);
                admission.end("vm", ticket, engine.now);
            }
        }
        if (random() < load.requestsPerSecond * stepMs / 1000) {
            arrive();
        }
        runPlan(engine, places, () => "answered");
        for (const { answer } of admission.advance(engine.now)) {
            const request = waiting.get(answer.ticket)!;
            waiting.delete(answer.ticket);
            if (answer.kind === "admitted") {
                queuedServed += 1;
                start(request);
            }
            else {
                decline(request);
            }
        }
    }
    return {
        asked,
        onTime: onTime / asked,
        served: served / asked,
        declined: declined / asked,
        declinedAfterMs: declinedAfter / Math.max(1, declined),
        keptPromises: queuedServed / Math.max(1, queued - waiting.size),
        loads: engine.sequence / 2 / asked,
    };
}
