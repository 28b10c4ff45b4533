import { createKeyDigest, Deployment, sendRequest, waitFor } from "@radishreel/harness";
import { setTimeout as sleep } from "node:timers/promises";
import { createFit, type Fit, readUsage } from "./usage.js";

const dataCentre = "bench";

/** Time for a deployment to become idle, and the duration of the measurement, in milliseconds. */
const settlingMs = 3000;
const measureMs = 8000;

/** Size of the deployment whose agent is measured. */
export interface ControlSize {
    readonly agents: number;
    readonly gateways: number;
    readonly engines: number;
    readonly adapters: number;
}

/** Resource usage of one idle agent. */
export interface ControlCost {
    readonly size: ControlSize;
    readonly cpuPercent: number;
    readonly memoryMegabytes: number;
    readonly bytesPerSecond: number;
    /** Duration of the apply command, until the version is in force everywhere, in milliseconds. */
    readonly applyMs: number;
}

/** Creates offerings with the given number of adapters and one client account that may use all of them. */
export function createBenchOfferings(adapters: number): object {
    return {
        customers: { bench: { class: "paying", keyDigests: [createKeyDigest("paying-key")], adapters: ["*"] } },
        adapters: Object.fromEntries(
            Array.from(
                { length: adapters },
                (_, index) => [`adapter-${index}`, { baseModel: "base", versions: ["1"] }],
            ),
        ),
    };
}

async function readPeerBytes(metrics: string): Promise<number> {
    const { body } = await sendRequest(metrics, "/metrics", { method: "GET" });
    const counts = [...body.matchAll(/^radishreel_peer_bytes_total\{.*\} (\d+)$/gm)].map(match => Number(match[1]));
    return counts.reduce((sum, count) => sum + count, 0);
}

/** Starts a deployment of the given size and measures its first agent while idle. */
export async function measureControl(size: ControlSize): Promise<ControlCost> {
    const deployment = await Deployment.create();
    try {
        await deployment.startFakes({
            engines: Array.from(
                { length: size.engines },
                (_, index) => ({ id: `engine-${index}`, dataCentre, slots: 8, batchRoom: 16 }),
            ),
        });
        for (let index = 0; index < size.agents; index++) {
            await deployment.startAgent(`agent-${index}`, dataCentre);
        }
        const [agent] = deployment.agents;
        const file = await deployment.writeFile("offerings.json", createBenchOfferings(size.adapters));
        const applyStart = performance.now();
        await deployment.apply(agent!, file);
        const applyMs = performance.now() - applyStart;
        for (let index = 0; index < size.gateways; index++) {
            await deployment.startGateway(`gateway-${index}`, dataCentre);
        }
        await waitFor("every gateway", async () => {
            const statuses = await Promise.all(
                deployment.gateways.map(gateway => sendRequest(gateway.metrics, "/readyz", { method: "GET" })),
            );
            return statuses.every(({ status }) => status === 200);
        });
        await sleep(settlingMs);
        const before = await readUsage(agent!.process.pid);
        const bytesBefore = await readPeerBytes(agent!.metrics);
        await sleep(measureMs);
        const after = await readUsage(agent!.process.pid);
        const bytesAfter = await readPeerBytes(agent!.metrics);
        return {
            size,
            cpuPercent: (after.cpuMs - before.cpuMs) / measureMs * 100,
            memoryMegabytes: after.memory / 2 ** 20,
            bytesPerSecond: (bytesAfter - bytesBefore) / (measureMs / 1000),
            applyMs,
        };
    }
    finally {
        await deployment.stop();
    }
}

/** Quantity that each series varies, with its values. */
const series: readonly { name: keyof ControlSize; values: readonly number[]; }[] = [
    { name: "gateways", values: [1, 4, 8, 16] },
    { name: "engines", values: [2, 8, 16, 32] },
    { name: "agents", values: [1, 2, 4, 8] },
    { name: "adapters", values: [1000, 20_000, 60_000, 130_000] },
];

/** A measured series, with a linear fit of each cost. */
export interface ControlSeries {
    readonly name: keyof ControlSize;
    readonly costs: readonly ControlCost[];
    readonly cpuPercent: Fit;
    readonly memoryMegabytes: Fit;
    readonly bytesPerSecond: Fit;
}

/**
 * Measures the named series, or `all`. Each series takes about a minute.
 * @param onCost Called with each measurement when it is complete.
 */
export async function runControl(
    selectedSeries: string,
    onCost: (cost: ControlCost) => void,
): Promise<ControlSeries[]> {
    const results: ControlSeries[] = [];
    for (const { name, values } of series.filter(each => selectedSeries === "all" || each.name === selectedSeries)) {
        const costs: ControlCost[] = [];
        for (const value of values) {
            const cost = await measureControl({ agents: 1, gateways: 1, engines: 2, adapters: 100, [name]: value });
            onCost(cost);
            costs.push(cost);
        }
        const fit = (read: (cost: ControlCost) => number): Fit =>
            createFit(costs.map(cost => ({ x: cost.size[name], y: read(cost) })));
        results.push({
            name,
            costs,
            cpuPercent: fit(cost => cost.cpuPercent),
            memoryMegabytes: fit(cost => cost.memoryMegabytes),
            bytesPerSecond: fit(cost => cost.bytesPerSecond),
        });
    }
    return results;
}
