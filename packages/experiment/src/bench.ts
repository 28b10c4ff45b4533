#!/usr/bin/env node
/** Measures what radishreel costs: the data path beside baselines, decisions and, on request, an agent at rest. */
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
        describe: "Measure an agent's cost at rest over four sizes of each, or of one; a minute a series",
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
            } us a request, placer ${placerMicros.toFixed(1)} us an event`,
        );
    }
}

const paths = await runDataPath();
const bare = paths.find(path => path.name === "passthrough")!;
for (const path of paths) {
    const ratio = path.cpuMicrosPerChunk / bare.cpuMicrosPerChunk;
    print(
        `data path: ${path.name.padEnd(12)} ${path.cpuMicrosPerChunk.toFixed(1)} us of CPU a chunk (${
            ratio.toFixed(2)
        } of the pass-through), `
            + `${path.cpuMicrosPerRequest.toFixed(0)} us a request, whole p50 ${path.wholeP50Ms.toFixed(1)} p99 ${
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
