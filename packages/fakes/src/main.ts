#!/usr/bin/env node
/** radishreel-fakes: fakes of the platform and the upstreams, in one process. */
import { loadSettings } from "@radishreel/settings";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { fakesSettingsSchema } from "./settings.js";
import { startFakes } from "./start.js";

const { settings: file } = await yargs(hideBin(process.argv))
    .scriptName("radishreel-fakes")
    .option("settings", { type: "string", demandOption: true, describe: "File of JSON with comments" })
    .strict()
    .parseAsync();

const fakes = await startFakes(await loadSettings(file, fakesSettingsSchema));
process.stdout.write(JSON.stringify({ ready: "radishreel-fakes", ...fakes.addresses }) + "\n");
process.once("SIGTERM", () => void fakes.stop());
