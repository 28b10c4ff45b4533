#!/usr/bin/env node
/** Benchmarks the decision logic, the data path against baselines and, on request, an idle agent. */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runControl } from "./control.js";
import { runDataPath } from "./datapath.js";
import { measureDecisions } from "./decisions.js";

const { control } = await yargs(hideBin(process.argv))
    .scriptName("bench")
    .option("control", {
        type: "string",
        choices: ["none", "all", "gateways", "engines", "agents", "adapters"],
        default: "none",
        describe: "Measure an idle agent's cost over four sizes of this quantity, or of all; takes a minute per series",
    })
    .strict()
    .parseAsync();

function print(line: string): void {
    process.stdout.write(line + "\n");
}

for (const engines of [25, 50, 100, 200]) {
    for (const adapters of [3000, 130_000]) {
        const { dispatchMicros, placerMicros } = measureDecisions(engines, adapters);
        print(
            `decisions: ${engines} engines, ${adapters} adapters: dispatch ${
                dispatchMicros.toFixed(1)
            } us per request, placer ${placerMicros.toFixed(1)} us per event`,
        );
    }
}

const paths = await runDataPath();
const passThrough = paths.find(path => path.name === "passthrough")!;
for (const path of paths) {
    const ratio = path.cpuMicrosPerChunk / passThrough.cpuMicrosPerChunk;
    print(
        `data path: ${path.name.padEnd(12)} ${path.cpuMicrosPerChunk.toFixed(1)} us of CPU per chunk (${
            ratio.toFixed(2)
        } of the pass-through), `
            + `${path.cpuMicrosPerRequest.toFixed(0)} us per request, whole p50 ${path.wholeP50Ms.toFixed(1)} p99 ${
                path.wholeP99Ms.toFixed(1)
            } ms, ${path.memoryMegabytes.toFixed(0)} MB`,
    );
}

if (control !== "none") {
    const results = await runControl(control, cost => print(`control: ${JSON.stringify(cost)}`));
    for (const { name, cpuPercent, memoryMegabytes, bytesPerSecond } of results) {
        print(
            `slope by ${name}: CPU % ${JSON.stringify(cpuPercent)}, MB ${JSON.stringify(memoryMegabytes)}, bytes/s ${
                JSON.stringify(bytesPerSecond)
            }`,
        );
    }
}
