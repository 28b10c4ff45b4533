/**
 * Runs every package's tests and the tests across processes with uvu, and closes with the sum of uvu's own counts.
 * A failing test is passed over only if KNOWN-RED.txt names it; such tests are printed.
 */
import { spawn } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import path from "node:path";

const root = path.join(import.meta.dirname, "..");
const uvu = path.join(root, "node_modules/uvu/bin.js");
const maxKnownRed = 3;

/** Test files that run at the same time. */
const concurrency = 4;

/** A file whose tests hang counts as failed after this long, in milliseconds. */
const fileTimeoutMs = 300_000;

const only = process.argv.slice(2);
const files = [
    "test/dist",
    "platform/dist/test",
    ...readdirSync(path.join(root, "packages")).sort().map(name => path.join("packages", name, "dist/test")),
].filter(directory => existsSync(path.join(root, directory)))
    .flatMap(directory => readdirSync(path.join(root, directory)).sort().map(name => path.join(directory, name)))
    .filter(file => file.endsWith(".test.js"))
    .filter(file => only.length === 0 || only.some(name => file.includes(name)));

/** Runs one file with uvu, and returns its exit code and all that it printed. */
function runFile(file) {
    return new Promise(resolve => {
        const pattern = `${path.basename(file).replaceAll(".", "\\.")}$`;
        const child = spawn(process.execPath, [uvu, path.dirname(file), pattern], { cwd: root });
        const timer = setTimeout(() => child.kill("SIGKILL"), fileTimeoutMs);
        let text = "";
        child.stdout.on("data", bytes => text += bytes);
        child.stderr.on("data", bytes => text += bytes);
        child.on("close", code => {
            clearTimeout(timer);
            resolve({ file, code, text: text.replace(/\u001B\[[0-9;]*m/g, "") });
        });
    });
}

/** Runs every file, a few at a time, and returns the runs in the order of the files. */
async function runFiles() {
    const runs = [];
    let next = 0;
    const work = async () => {
        for (let index = next++; index < files.length; index = next++) {
            runs[index] = await runFile(files[index]);
        }
    };
    await Promise.all(Array.from({ length: concurrency }, work));
    return runs;
}

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
for (const { file, code, text } of await runFiles()) {
    console.log(`\n${file}`);
    process.stdout.write(text);
    const total = Number(/Total:\s+(\d+)/.exec(text)?.[1] ?? 0);
    const good = Number(/Passed:\s+(\d+)/.exec(text)?.[1] ?? 0);
    const names = [...text.matchAll(/FAIL\s+(?:.*?)"(.+)"/g)].map(match => match[1]);
    const red = names.filter(name => known.some(line => line.startsWith(name)));
    passed += good;
    excused += red.length;
    // A run that ends badly without a count, by a crash while loading for example, has failed too.
    failed += code === 0 ? total - good : Math.max(total - good, 1) - red.length;
}

if (known.length > 0) {
    console.log(`\nKnown failures (KNOWN-RED.txt), ${excused} of them seen:\n${known.join("\n")}`);
}
console.log(`\n${passed} passed, ${failed} failed`);
process.exit(failed === 0 && passed > 0 ? 0 : 1);
