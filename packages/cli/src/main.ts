#!/usr/bin/env node
/** radishreel: the operators' command line. */
import yargs, { type Argv } from "yargs";
import { hideBin } from "yargs/helpers";
import { AgentClient } from "./agent.js";
import { type Output, runApply, runCheck, runDiff, runDrain, runExplain, runStatus } from "./commands.js";
import { type ExitCode, exitCodes } from "./exit.js";
import { runTrace } from "./trace.js";

interface CommonArguments {
    readonly agent: string[];
    readonly key: string;
    readonly json: boolean;
}

function createOutput(isJson: boolean): Output {
    return {
        print: (value, text) => process.stdout.write((isJson ? JSON.stringify(value) : text) + "\n"),
        fail: (value, text) => {
            if (isJson) {
                process.stdout.write(JSON.stringify(value) + "\n");
                return;
            }
            process.stderr.write(text + "\n");
        },
    };
}

function createClient({ agent, key }: CommonArguments): AgentClient {
    return new AgentClient(agent, key);
}

function finish(code: ExitCode): void {
    process.exitCode = code;
}

function addFiles<T>(command: Argv<T>) {
    return command.positional("files", {
        type: "string",
        array: true,
        demandOption: true,
        describe: "Files of JSON with comments, or directories of them; together they are the whole",
    });
}

await yargs(hideBin(process.argv))
    .scriptName("radishreel")
    .env("RADISHREEL")
    .option("agent", {
        type: "string",
        array: true,
        nargs: 1,
        default: [] as string[],
        describe: "host:port of an agent's listener for operators; the first that answers is used",
    })
    .option("key", { type: "string", default: "", describe: "Operator's key; better given as RADISHREEL_KEY" })
    .option("json", { type: "boolean", default: false, describe: "Print JSON" })
    .command(
        "check <files..>",
        "Check files without asking an agent",
        command => addFiles(command),
        async args => finish(await runCheck(args.files, createOutput(args.json))),
    )
    .command(
        "diff <files..>",
        "Show what an apply would change; exits with 1 if anything",
        command => addFiles(command),
        async args => finish(await runDiff(args.files, createClient(args), createOutput(args.json))),
    )
    .command(
        "apply <files..>",
        "Put files in force, whole or not at all",
        command =>
            addFiles(command)
                .option("apply-id", { type: "string", describe: "Name of an apply, to ask again what became of it" })
                .option("base", { type: "number", describe: "Version that the files were made against" }),
        async args =>
            finish(
                await runApply(
                    { files: args.files, applyId: args.applyId, base: args.base },
                    createClient(args),
                    createOutput(args.json),
                ),
            ),
    )
    .command(
        "status",
        "Show the version in force and the nodes",
        command => command,
        async args => finish(await runStatus(createClient(args), createOutput(args.json))),
    )
    .command(
        "explain <model>",
        "Show where adapter@version is and what its next load waits for",
        command => command.positional("model", { type: "string", demandOption: true }),
        async args => finish(await runExplain(args.model, createClient(args), createOutput(args.json))),
    )
    .command(
        "drain <upstream>",
        "Take an upstream out of service",
        command => command.positional("upstream", { type: "string", demandOption: true }),
        async args => finish(await runDrain(args.upstream, createClient(args), createOutput(args.json))),
    )
    .command(
        "trace <request> [files..]",
        "Show the story of one request from decision lines",
        command =>
            command
                .positional("request", {
                    type: "string",
                    demandOption: true,
                    describe: "Id of one attempt of a caller",
                })
                .positional("files", {
                    type: "string",
                    array: true,
                    default: [],
                    describe: "Logs; none: standard input",
                }),
        async args => finish(await runTrace(args.request, args.files, createOutput(args.json))),
    )
    .completion("completion", "Print a script for shell completion")
    .demandCommand(1)
    .strict()
    .fail((message, error, parser) => {
        if (error !== undefined && error !== null) {
            throw error;
        }
        process.stderr.write(`${message}\n\n`);
        parser.showHelp();
        process.exit(exitCodes.usage);
    })
    .parseAsync();
