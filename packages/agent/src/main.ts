#!/usr/bin/env node
/** radishreel-agent: the control path of one VM. */
import { loadSettings } from "@radishreel/settings";
import { createLogger } from "@radishreel/telemetry";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { Agent } from "./agent.js";
import { agentSettingsSchema } from "./settings.js";

const { settings: file } = await yargs(hideBin(process.argv))
    .scriptName("radishreel-agent")
    .option("settings", { type: "string", demandOption: true, describe: "File of JSON with comments" })
    .strict()
    .parseAsync();

const settings = await loadSettings(file, agentSettingsSchema);
const agent = new Agent(settings, createLogger("radishreel-agent", settings.logFormat));
for (const signal of ["SIGTERM", "SIGINT"] as const) {
    // A second signal waits for the stop already in progress and does not end the process early.
    process.on(signal, () => void agent.stop().then(() => process.exit(0)));
}
const addresses = await agent.start();
process.stdout.write(JSON.stringify({ ready: "radishreel-agent", ...addresses }) + "\n");
