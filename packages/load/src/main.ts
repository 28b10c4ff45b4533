#!/usr/bin/env node
/** radishreel-load: open-loop load generator and comparison of two results. */
import { SingleBar } from "cli-progress";
import { readFile, writeFile } from "node:fs/promises";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { compareResults, formatComparison } from "./compare.js";
import { isLoopback } from "./options.js";
import { formatPlot } from "./plot.js";
import type { LoadResult } from "./result.js";
import { LoadRun } from "./run.js";

async function readResult(file: string): Promise<LoadResult> {
    return JSON.parse(await readFile(file, "utf8")) as LoadResult;
}

await yargs(hideBin(process.argv))
    .scriptName("radishreel-load")
    .command(
        "run",
        "Send requests at scheduled times, whether or not earlier requests have finished",
        command =>
            command
                .option("target", {
                    type: "string",
                    array: true,
                    demandOption: true,
                    nargs: 1,
                    describe: "host:port of a gateway",
                })
                .option("model", {
                    type: "string",
                    array: true,
                    demandOption: true,
                    nargs: 1,
                    describe: "adapter@version; repeat in order of popularity, the most popular first",
                })
                .option("seconds", { type: "number", default: 10 })
                .option("paying-rate", { type: "number", default: 10, describe: "Paying requests per second" })
                .option("trial-rate", { type: "number", default: 0 })
                .option("paying-key", { type: "string", default: "paying-key" })
                .option("trial-key", { type: "string", default: "trial-key" })
                .option("zipf", { type: "number", default: 1 })
                .option("shift-seconds", {
                    type: "number",
                    describe: "Interval after which the popularity of the models changes",
                })
                .option("burst", { type: "number", default: 1, describe: "Requests that arrive together" })
                .option("stream-share", { type: "number", default: 1 })
                .option("max-tokens", { type: "number", default: 16 })
                .option("deadline-ms", { type: "number", default: 10_000 })
                .option("once-call", {
                    type: "string",
                    describe: "Path of a non-idempotent call, sent with a request token",
                })
                .option("once-share", { type: "number", default: 0 })
                .option("seed", { type: "number", default: 1 })
                .option("out", { type: "string", describe: "File for the result as JSON" })
                .option("plot", { type: "string", describe: "File for an HTML page with plots" })
                .option("allow-remote", {
                    type: "boolean",
                    default: false,
                    describe: "Also send to other hosts than this one",
                }),
        async args => {
            if (!args.allowRemote && !args.target.every(isLoopback)) {
                process.stderr.write("every --target must be a loopback address unless --allow-remote is set\n");
                process.exitCode = 2;
                return;
            }
            const bar = new SingleBar({ stream: process.stderr, noTTYOutput: false });
            const run = new LoadRun({
                ...args,
                targets: args.target,
                models: args.model,
                durationSeconds: args.seconds,
            }, (sent, total) => {
                bar.setTotal(total);
                bar.update(sent);
            });
            bar.start(1, 0);
            const result = await run.run();
            bar.stop();
            if (args.out !== undefined) {
                await writeFile(args.out, JSON.stringify(result, undefined, 4) + "\n");
            }
            if (args.plot !== undefined) {
                await writeFile(args.plot, formatPlot(result));
            }
            process.stdout.write(JSON.stringify({ ...result, seconds: undefined }, undefined, 4) + "\n");
        },
    )
    .command(
        "compare <left> <right>",
        "Print every measure of two results and its ratio",
        command =>
            command
                .positional("left", { type: "string", demandOption: true })
                .positional("right", { type: "string", demandOption: true }),
        async args => {
            const [left, right] = await Promise.all([readResult(args.left), readResult(args.right)]);
            process.stdout.write(formatComparison(compareResults(left, right)) + "\n");
        },
    )
    .demandCommand(1)
    .strict()
    .parseAsync();
