/**
 * Runs every package's tests and the tests across processes with uvu, and closes with the sum of uvu's own counts.
 * A failing test is passed over only if KNOWN-RED.txt names it; such tests are printed.
 */
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import path from "node:path";

const root = path.join(import.meta.dirname, "..");
const uvu = path.join(root, "node_modules/uvu/bin.js");
const maxKnownRed = 3;

/** A directory whose tests hang counts as failed after this long, in milliseconds. */
const directoryTimeoutMs = 300_000;

const only = process.argv.slice(2);
const directories = [
    ...readdirSync(path.join(root, "packages")).sort().map(name => path.join("packages", name, "dist/test")),
    "test/dist",
].filter(directory =>
    existsSync(path.join(root, directory))
    && readdirSync(path.join(root, directory)).some(file => file.endsWith(".test.js"))
)
    .filter(directory => only.length === 0 || only.some(name => directory.includes(name)));

const knownFile = path.join(root, "KNOWN-RED.txt");
const known = existsSync(knownFile)
    ? readFileSync(knownFile, "utf8").split("\n").filter(line => line.trim() !== "" && !line.startsWith("#"))
    : [];
if (known.length > maxKnownRed) {
    console.error(`KNOWN-RED.txt lists ${known.length} tests; ${maxKnownRed} at most`);
    process.exit(1);
}

let passed = 0;
let failed = 0;
let excused = 0;
for (const directory of directories) {
    console.log(`\n${directory}`);
    const run = spawnSync(process.execPath, [uvu, directory, "\\.test\\.js$"], {
        cwd: root,
        encoding: "utf8",
        maxBuffer: 1e8,
    });
    const text = `${run.stdout}${run.stderr}`.replace(/\u001B\[[0-9;]*m/g, "");
    process.stdout.write(text);
    const total = Number(/Total:\s+(\d+)/.exec(text)?.[1] ?? 0);
    const good = Number(/Passed:\s+(\d+)/.exec(text)?.[1] ?? 0);
    const names = [...text.matchAll(/FAIL\s+(?:.*?)"(.+)"/g)].map(match => match[1]);
    const red = names.filter(name => known.some(line => line.startsWith(name)));
    passed += good;
    excused += red.length;
    // A run that ends badly without a count, by a crash while loading for example, has failed too.
    failed += run.status === 0 ? total - good : Math.max(total - good, 1) - red.length;
}

if (known.length > 0) {
    console.log(`\nKnown failures (KNOWN-RED.txt), ${excused} of them seen:\n${known.join("\n")}`);
}
console.log(`\n${passed} passed, ${failed} failed`);
process.exit(failed === 0 && passed > 0 ? 0 : 1);
