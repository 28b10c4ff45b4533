import { FleetView, PauseThreshold, PrefixCache } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { AttemptEnd } from "../src/requests/attemptend.js";
import type { Job } from "../src/requests/job.js";
import { emptyMetadata } from "../src/requests/metadata.js";
import { AttemptResults } from "../src/requests/results.js";

/** Records the end of the only attempt of a request. @returns Whether the request counts as run, and its runs. */
function recordEnd(end: AttemptEnd): { hasRun: boolean; runs: number; } {
    const view = new FleetView();
    const upstream = {
        id: "e1",
        name: "e1",
        service: "llm",
        address: "127.0.0.1:1",
        dataCentre: "depot",
        isLeaving: false,
        slots: 1,
        models: [],
        softwareVersion: "v1",
        bornAt: 0,
        remainingMs: undefined,
    };
    view.updateUpstream(upstream as never, 0);
    const job = {
        demand: {},
        route: { kind: "stream" },
        service: { name: "llm", engine: {} },
        tried: new Map(),
        runs: 0,
        rejections: 0,
        hasRun: false,
    } as unknown as Job;
    const results = new AttemptResults({
        view,
        prefixCache: new PrefixCache(),
        longPromptThreshold: new PauseThreshold(),
        readTime: () => 100,
        sendMissing: () => {},
    });
    const choice = { state: view.findUpstream("e1")! } as never;
    results.record({ job, choice, end, sentAt: 0, metadata: emptyMetadata });
    return { hasRun: job.hasRun, runs: job.runs };
}

test("a request that an upstream ran until another attempt went on counts as run", () => {
    assert.equal(recordEnd({ kind: "superseded", wasSent: true }), { hasRun: true, runs: 1 });
    assert.equal(recordEnd({ kind: "superseded", wasSent: false }), { hasRun: false, runs: 0 });
});

test("a request counts as not run only if its upstream says so or it was not written", () => {
    const notRun = { kind: "notRun", wasSent: true, isMisdirected: false, detail: "" } as const;
    assert.equal(recordEnd(notRun), { hasRun: false, runs: 0 });
    assert.equal(recordEnd({ kind: "invalid", detail: "" }), { hasRun: false, runs: 0 });
    assert.equal(recordEnd({ kind: "broken", reason: "connectionLost", detail: "" }), { hasRun: true, runs: 1 });
    assert.is(recordEnd({ kind: "callerLeft" }).hasRun, true);
    assert.is(recordEnd({ kind: "complete", status: 200 }).hasRun, true);
});

test.run();
