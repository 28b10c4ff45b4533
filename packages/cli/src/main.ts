#!/usr/bin/env node
/** radishreel: command-line tool for operators. */
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

function setExitCode(code: ExitCode): void {
    process.exitCode = code;
}

function addFiles<T>(command: Argv<T>) {
    return command.positional("files", {
        type: "string",
        array: true,
        demandOption: true,
        describe: "Files of JSON with comments, or directories of them; together they hold the complete offerings",
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
        describe:
            "host:port of an agent's listener for operators; may be repeated, the first agent that responds is used",
    })
    .option("key", {
        type: "string",
        default: "",
        describe: "Operator's key; preferably set as the environment variable RADISHREEL_KEY",
    })
    .option("json", { type: "boolean", default: false, describe: "Print JSON" })
    .command(
        "check <files..>",
        "Check files without contacting an agent",
        command => addFiles(command),
        async args => setExitCode(await runCheck(args.files, createOutput(args.json))),
    )
    .command(
        "diff <files..>",
        "Show what an apply would change; exits with 1 if there are differences",
        command => addFiles(command),
        async args => setExitCode(await runDiff(args.files, createClient(args), createOutput(args.json))),
    )
    .command(
        "apply <files..>",
        "Put the contents of files in force, all or nothing",
        command =>
            addFiles(command)
                .option("apply-id", {
                    type: "string",
                    describe: "Id of the apply; the id of an earlier apply asks for its outcome",
                })
                .option("base", { type: "number", describe: "Version that the files are based on" }),
        async args =>
            setExitCode(
                await runApply(
                    { files: args.files, applyId: args.applyId, base: args.base },
                    createClient(args),
                    createOutput(args.json),
                ),
            ),
    )
    .command(
        "status",
        "Show the version in force and the progress of the nodes",
        command => command,
        async args => setExitCode(await runStatus(createClient(args), createOutput(args.json))),
    )
    .command(
        "explain <model>",
        "Show on which engines adapter@version is and what its next load waits for",
        command => command.positional("model", { type: "string", demandOption: true }),
        async args => setExitCode(await runExplain(args.model, createClient(args), createOutput(args.json))),
    )
    .command(
        "drain <upstream>",
        "Take an upstream out of service",
        command => command.positional("upstream", { type: "string", demandOption: true }),
        async args => setExitCode(await runDrain(args.upstream, createClient(args), createOutput(args.json))),
    )
    .command(
        "trace <request> [files..]",
        "Show the log lines that concern one request, from all VMs, sorted by time",
        command =>
            command
                .positional("request", {
                    type: "string",
                    demandOption: true,
                    describe: "Id of the request; each attempt of a caller has its own",
                })
                .positional("files", {
                    type: "string",
                    array: true,
                    default: [],
                    describe: "Log files; default: standard input",
                }),
        async args => setExitCode(await runTrace(args.request, args.files, createOutput(args.json))),
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
