/**
 * Builds the files that the platform starts: a bundle of the program and the used parts of its libraries, V8's code
 * cache for the bundle, and a small launcher. A short start matters because all VMs start at the same time, also after
 * a power failure: without the bundle, 195 processes on one machine each need 0.38 s to compile and load unused code,
 * 75 s of processor time in total.
 *
 * Run the script with the same flags as the program: V8 rejects a code cache that was created with other flags.
 */
import { build } from "esbuild";
import { readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import path from "node:path";
import { Script } from "node:vm";

const root = path.join(import.meta.dirname, "..");
const output = path.join(root, "target");
const bundle = path.join(output, "radishreel-node.bundle.cjs");

const common = {
    absWorkingDir: root,
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    minify: true,
    keepNames: true,
    logLevel: "warning",
};

/**
 * Replacements for the bundle: workspace packages resolve to their sources. Libraries, and the Node.js modules that
 * only they load, resolve to versions without the unused parts.
 */
const alias = {
    ...Object.fromEntries(
        ["fleet", "node", "routing", "wire"].map(name => [`@radishreel/${name}`, `./packages/${name}/src/index.ts`]),
    ),
    "cbor-x": "./node_modules/cbor-x/index.js",
    "prom-client": "./platform/bundle/prom-client.cjs",
    undici: "./platform/bundle/undici.cjs",
    "node:assert": "./platform/bundle/assert.cjs",
    "node:http2": "./platform/bundle/http2.cjs",
};

// The bundle is wrapped in a function expression, so that V8 can compile it without running the program.
const banner = { js: "(function (require, module, exports) {" };
const footer = { js: "})" };

await build({ ...common, alias, banner, footer, entryPoints: ["platform/src/main.ts"], outfile: bundle });
await build({ ...common, entryPoints: ["platform/src/launch.ts"], outfile: path.join(output, "radishreel-node.cjs") });

// Running the bundle compiles the code of each start into the code cache; the launcher starts the program itself.
const script = new Script(readFileSync(bundle, "utf8"), { filename: bundle });
const module = { exports: {} };
script.runInThisContext()(createRequire(bundle), module, module.exports);
writeFileSync(`${bundle}.cache`, script.createCachedData());
