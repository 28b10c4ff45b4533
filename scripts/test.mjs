/**
 * Runs the tests of all packages and the tests across processes with uvu, and prints the sums of uvu's counts.
 * The script ignores the failure of a test only if KNOWN-RED.txt lists the test, and prints that list and its count.
 */
import { spawn } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import path from "node:path";

const root = path.join(import.meta.dirname, "..");
const uvu = path.join(root, "node_modules/uvu/bin.js");

/** Number of test files that run at the same time, without those that run alone. */
const concurrency = 4;

/** Timeout of one test file, in milliseconds. A file that times out counts as failed. */
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

/** Runs one file with uvu, and returns its exit code and its output. */
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

/** Runs files, up to some at a time, and returns the results in the order of the files. */
async function runFiles(files, concurrency) {
    const runs = [];
    let next = 0;
    const runNextFiles = async () => {
        for (let index = next++; index < files.length; index = next++) {
            runs[index] = await runFile(files[index]);
        }
    };
    await Promise.all(Array.from({ length: concurrency }, runNextFiles));
    return runs;
}

/** Whether the tests of a file measure processes, so that no other tests may run at the same time. */
function isSerial(file) {
    return file.endsWith(".serial.test.js");
}

const knownFailuresFile = path.join(root, "KNOWN-RED.txt");
const knownFailures = existsSync(knownFailuresFile)
    ? readFileSync(knownFailuresFile, "utf8").split("\n").filter(line => line.trim() !== "" && !line.startsWith("#"))
    : [];
const knownNames = new Set(knownFailures.map(line => line.split(" | ", 1)[0].trim()));

let passed = 0;
let failed = 0;
const seenNames = new Set();
const results = [
    ...await runFiles(files.filter(file => !isSerial(file)), concurrency),
    ...await runFiles(files.filter(isSerial), 1),
];
for (const { file, code, text } of results) {
    console.log(`\n${file}`);
    process.stdout.write(text);
    const total = Number(/Total:\s+(\d+)/.exec(text)?.[1] ?? 0);
    const passedInFile = Number(/Passed:\s+(\d+)/.exec(text)?.[1] ?? 0);
    const names = [...text.matchAll(/FAIL\s+(?:.*?)"(.+)"/g)].map(match => match[1]);
    const ignoredNames = names.filter(name => knownNames.has(name));
    passed += passedInFile;
    ignoredNames.forEach(name => seenNames.add(name));
    // A file that fails without a count, for example by a crash while it loads, counts as one failed test.
    failed += code === 0 ? total - passedInFile : Math.max(total - passedInFile, 1) - ignoredNames.length;
}

if (knownFailures.length > 0) {
    console.log(`\nKnown failures (KNOWN-RED.txt):\n${knownFailures.join("\n")}`);
}
console.log(`\nKnown failures: ${knownFailures.length} listed, ${seenNames.size} seen failing`);
console.log(`\n${passed} passed, ${failed} failed`);
process.exit(failed === 0 && passed > 0 ? 0 : 1);
