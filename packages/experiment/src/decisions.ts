import { Dispatcher } from "@radishreel/dispatch";
import { Placer } from "@radishreel/placement";
import { RandomSource, ZipfSource } from "./random.js";

/** Mean decision time per dispatched request and per placer event, in microseconds, at a given size. */
export interface DecisionResult {
    readonly engines: number;
    readonly adapters: number;
    readonly dispatchMicros: number;
    readonly placerMicros: number;
}

const slots = 8;
const events = 20_000;

/** Measures the decision logic alone: requests that arrive and finish, and demand reports to a placer. */
export function measureDecisions(engines: number, adapters: number): DecisionResult {
    const random = new RandomSource(1);
    const source = new ZipfSource(adapters, 1);
    const dispatcher = new Dispatcher();
    const placer = new Placer();
    for (let index = 0; index < engines; index++) {
        const models = Array.from({ length: slots }, (_, slot) => `adapter-${index * slots + slot}@1`);
        const id = `engine-${index}`;
        dispatcher.decide({
            type: "engine",
            engine: { id, instance: "1", batchRoom: 16, isLeaving: false, models, othersPaying: 0, othersTrial: 0 },
        }, 0);
        const held = models.map(model => ({ model, state: "loaded" as const, inUse: 0 }));
        placer.decide({
            type: "engine",
            engine: { id, slots, batchRoom: 16, isLeaving: false, inFlight: 0, models: held },
        }, 0);
    }
    const models = Array.from({ length: events }, () => `adapter-${source.readRank(random)}@1`);
    const dispatchMicros = measureMicros(events, index => runRequest(dispatcher, models[index]!, index));
    for (let rank = 0; rank < adapters; rank++) {
        placer.decide({ type: "demand", gateway: "g", changes: [createDemand(`adapter-${rank}@1`, 0)] }, 0);
    }
    const placerMicros = measureMicros(events, index => {
        placer.decide({
            type: "demand",
            gateway: "g",
            changes: [createDemand(models[index]!, index % 50 === 0 ? 1 : 0)],
        }, index);
    });
    return { engines, adapters, dispatchMicros, placerMicros };
}

function measureMicros(count: number, run: (index: number) => void): number {
    const start = performance.now();
    for (let index = 0; index < count; index++) {
        run(index);
    }
    return (performance.now() - start) * 1000 / count;
}

/** Runs one request: its arrival and, if it was dispatched, its completion. */
function runRequest(dispatcher: Dispatcher, model: string, index: number): void {
    const id = String(index);
    const request = {
        id,
        model,
        account: `customer-${index % 40}`,
        accountClass: "paying" as const,
        weight: 1,
        arrivedAt: index,
        deadlineAt: index + 1000,
    };
    for (const command of dispatcher.decide({ type: "arrive", request }, index)) {
        if (command.type === "dispatch") {
            dispatcher.decide({
                type: "ended",
                requestId: command.request.id,
                engineId: command.engineId,
                outcome: "complete",
            }, index);
        }
    }
    if (index % 100 === 0) {
        dispatcher.readDemand(index);
    }
}

function createDemand(model: string, waiting: number) {
    return {
        model,
        paying: { count: waiting, ageMs: waiting * 10 },
        trial: { count: 0, ageMs: 0 },
        payingArrivals: 1,
        trialArrivals: 0,
    };
}
