import { Deployment, ManagedProcess, sendCompletion, waitFor } from "@radishreel/harness";
import { fileURLToPath } from "node:url";
import { createBenchOfferings } from "./control.js";
import { readUsage } from "./usage.js";

/** Number of concurrent streams, tokens per stream, and number of measured rounds. */
const concurrency = 50;
const tokens = 200;
const rounds = 4;

const dataCentre = "bench";
const model = "adapter-0@1";

/** Measurements of one way to pass streams through. */
export interface DataPathResult {
    readonly name: string;
    readonly cpuMicrosPerChunk: number;
    readonly cpuMicrosPerRequest: number;
    readonly wholeP50Ms: number;
    readonly wholeP99Ms: number;
    readonly memoryMegabytes: number;
}

async function measurePath(name: string, address: string, pid: number): Promise<DataPathResult> {
    // The first round warms up connections and compiled code.
    await runRound(address, 1);
    const before = await readUsage(pid);
    const times: number[] = [];
    for (let round = 0; round < rounds; round++) {
        times.push(...await runRound(address, tokens));
    }
    const after = await readUsage(pid);
    const shortBefore = await readUsage(pid);
    for (let round = 0; round < rounds; round++) {
        await runRound(address, 1);
    }
    const shortAfter = await readUsage(pid);
    times.sort((left, right) => left - right);
    const requests = concurrency * rounds;
    const perRequest = (shortAfter.cpuMs - shortBefore.cpuMs) * 1000 / requests;
    return {
        name,
        cpuMicrosPerChunk: ((after.cpuMs - before.cpuMs) * 1000 / requests - perRequest) / tokens,
        cpuMicrosPerRequest: perRequest,
        wholeP50Ms: times[Math.floor(times.length / 2)]!,
        wholeP99Ms: times[Math.floor(times.length * 0.99)]!,
        memoryMegabytes: after.memory / 2 ** 20,
    };
}

async function runRound(address: string, count: number): Promise<number[]> {
    return Promise.all(Array.from({ length: concurrency }, async () => {
        const start = performance.now();
        const result = await sendCompletion(address, model, { tokens: count });
        if (!result.hasEndMark) {
            throw new Error(
                `stream ended without an end mark: status ${result.status}, body ${result.body.slice(0, 200)}`,
            );
        }
        return performance.now() - start;
    }));
}

/** Measures the gateway, a plain pass-through and a TCP pipe, all in front of the same engine. */
export async function runDataPath(): Promise<DataPathResult[]> {
    const deployment = await Deployment.create();
    const baselines: ManagedProcess[] = [];
    try {
        await deployment.startFakes({
            engines: [{ id: "engine", dataCentre, slots: 2, batchRoom: concurrency, tokenMs: 2, tokens }],
        });
        const agent = await deployment.startAgent("agent", dataCentre);
        await deployment.apply(agent, await deployment.writeFile("offerings.json", createBenchOfferings(1)));
        const gateway = await deployment.startGateway("gateway", dataCentre);
        await waitFor(
            "the model to be served",
            async () => (await sendCompletion(gateway.callers, model, { tokens: 1 })).status === 200,
        );
        const upstream = deployment.addresses.engines.engine!;
        const results = [await measurePath("gateway", gateway.callers, gateway.process.pid)];
        for (const mode of ["passthrough", "pipe"]) {
            const script = fileURLToPath(new URL("baseline.js", import.meta.url));
            const { process: baseline, ready } = await ManagedProcess.start(mode, script, [mode, upstream]);
            baselines.push(baseline);
            results.push(await measurePath(mode, ready.address as string, baseline.pid));
        }
        return results;
    }
    finally {
        await Promise.all(baselines.map(baseline => baseline.kill()));
        await deployment.stop();
    }
}
