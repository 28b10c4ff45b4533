#!/usr/bin/env node
/** radishreel-gateway: the data path of one VM. */
import { loadSettings } from "@radishreel/settings";
import { createLogger } from "@radishreel/telemetry";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { Gateway } from "./gateway.js";
import { gatewaySettingsSchema } from "./settings.js";

const { settings: file } = await yargs(hideBin(process.argv))
    .scriptName("radishreel-gateway")
    .option("settings", { type: "string", demandOption: true, describe: "File of JSON with comments" })
    .strict()
    .parseAsync();

const settings = await loadSettings(file, gatewaySettingsSchema);
const gateway = new Gateway(settings, createLogger("radishreel-gateway", settings.logFormat));
for (const signal of ["SIGTERM", "SIGINT"] as const) {
    // A second signal waits for the stop already in progress and does not end the process early.
    process.on(signal, () => void gateway.drain().then(() => process.exit(0)));
}
const addresses = await gateway.start();
process.stdout.write(JSON.stringify({ ready: "radishreel-gateway", ...addresses }) + "\n");
