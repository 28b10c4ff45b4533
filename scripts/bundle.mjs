/**
 * Builds what the platform starts: one file with the program and the parts of its libraries that it uses, the code that
 * V8 has compiled for it, and a small file that starts the two. All VMs start at once, and again after a loss of power: 195
 * processes that took 0.38 s each to compile and load what they do not use took 75 s of a machine's processors.
 *
 * Run by the same flags as the program: V8 takes no compiled code that was made under others.
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
 * Workspace packages are bundled from their sources, and libraries without the parts that are not used, those of Node.js that
 * only they load included.
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

// One function, so that it can be compiled without being run.
const banner = { js: "(function (require, module, exports) {" };
const footer = { js: "})" };

await build({ ...common, alias, banner, footer, entryPoints: ["platform/src/main.ts"], outfile: bundle });
await build({ ...common, entryPoints: ["platform/src/launch.ts"], outfile: path.join(output, "radishreel-node.cjs") });

// Loading the bundle compiles what is run at each start; the program itself is started by the launcher.
const script = new Script(readFileSync(bundle, "utf8"), { filename: bundle });
const module = { exports: {} };
script.runInThisContext()(createRequire(bundle), module, module.exports);
writeFileSync(`${bundle}.cache`, script.createCachedData());
