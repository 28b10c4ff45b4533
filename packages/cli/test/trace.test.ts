import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { exitCodes } from "../src/exit.js";
import { parseDecisionLine, RequestTrace, runTrace } from "../src/trace.js";

function createLine(ms: number, vm: string, event: string, fields: object): string {
    return JSON.stringify({ at: new Date(1_000_000 + ms).toISOString(), program: "p", vm, event, ...fields });
}

const firstVm = [
    createLine(0, "a", "start", { pid: 1 }),
    createLine(5000, "a", "loadAsked", { request: "r1", engine: "e1", key: "m/a7", waitedMs: 0 }),
    createLine(5100, "a", "loadAsked", { request: "r2", engine: "e1", key: "m/a8", waitedMs: 0 }),
    "not JSON {",
    createLine(5600, "a", "attempt", { request: "r1", upstream: "e1", adapter: "a7", ms: 300, end: "complete" }),
    createLine(5600, "a", "served", { request: "r1", upstream: "e1", ms: 600 }),
];
const secondVm = [
    `12.5 b ${createLine(4000, "b", "ordersAllowed", { engine: "e1", canOrder: true })}`,
    createLine(1000, "b", "ordersAllowed", { engine: "e1", canOrder: false }),
    createLine(5010, "b", "order", { engine: "e1", action: "load", adapter: "a7", answer: "accepted", ms: 3 }),
    createLine(5020, "b", "order", { engine: "e1", action: "load", adapter: "a8", answer: "accepted", ms: 3 }),
    createLine(5020, "b", "order", { engine: "e2", action: "load", adapter: "a7", answer: "accepted", ms: 3 }),
    createLine(9000, "b", "upstreamGone", { upstream: "e1" }),
];

test("a trace has the request's lines and its engine's concurrent events, from two VMs and in order of time", () => {
    const trace = new RequestTrace("r1");
    for (const text of [...secondVm, ...firstVm]) {
        const line = parseDecisionLine(text);
        if (line !== undefined) {
            trace.add(line);
        }
    }
    assert.equal(trace.list().map(({ vm, event }) => `${vm} ${event}`), [
        "b ordersAllowed",
        "a loadAsked",
        "b order",
        "a attempt",
        "a served",
    ]);
});

test("a line that is not a decision line is parsed as undefined", () => {
    for (const text of ["", "{", "{}", "[1]", "plain text", "{\"event\":\"x\"}"]) {
        assert.is(parseDecisionLine(text), undefined);
    }
});

test("a trace is read from several files; exit codes report an unknown request and an unreadable file", async () => {
    const directory = await mkdtemp(path.join(tmpdir(), "radishreel-trace-"));
    const files = [path.join(directory, "a.log"), path.join(directory, "b.log")];
    await writeFile(files[0]!, firstVm.join("\n"));
    await writeFile(files[1]!, secondVm.join("\n"));
    const printed: string[] = [];
    const output = {
        print: (_value: unknown, text: string) => printed.push(text),
        fail: (_value: unknown, text: string) => printed.push(text),
    };
    assert.is(await runTrace("r1", files, output), exitCodes.done);
    assert.is(printed[0]?.split("\n").length, 5);
    assert.match(printed[0]!, /^\+0 ms {2}b {2}ordersAllowed {2}engine=e1 {2}canOrder=true/);
    assert.is(await runTrace("r9", files, output), exitCodes.notFound);
    assert.is(await runTrace("r1", [path.join(directory, "none.log")], output), exitCodes.mistakes);
    await rm(directory, { recursive: true });
});

test.run();
