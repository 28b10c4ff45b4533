#!/usr/bin/env node
/** Runs every scenario with every policy and prints one line per run. */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { createHashingPolicy, createRoundRobinPolicy } from "./naive.js";
import { RadishreelPolicy } from "./radishreel.js";
import { createReport, formatReport } from "./report.js";
import { listScenarios } from "./scenarios.js";
import { type Policy, Simulation } from "./world.js";

const { seed, only, json } = await yargs(hideBin(process.argv))
    .scriptName("experiment")
    .option("seed", { type: "number", default: 1, describe: "Seed of the traces" })
    .option("only", { type: "string", default: "", describe: "Run only scenarios whose names contain this text" })
    .option("json", { type: "boolean", default: false, describe: "Print one JSON object per run" })
    .strict()
    .parseAsync();

const policies: (() => Policy)[] = [
    createRoundRobinPolicy,
    createHashingPolicy,
    () => new RadishreelPolicy({ stallWeight: 0.9 }),
    () => new RadishreelPolicy({ stallWeight: 0.2 }),
];

for (const scenario of listScenarios(seed)) {
    if (!scenario.name.includes(only)) {
        continue;
    }
    for (const createPolicy of policies) {
        const policy = createPolicy();
        const run = new Simulation(scenario.world, policy).run(scenario.trace, scenario.faults);
        const report = createReport(policy.name, run);
        process.stdout.write(
            (json ? JSON.stringify({ scenario: scenario.name, ...report }) : formatReport(scenario.name, report))
                + "\n",
        );
    }
}
