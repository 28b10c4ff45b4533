import { FleetView, PauseThreshold, PrefixCache } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { AttemptEnd } from "../src/requests/attemptend.js";
import type { Job } from "../src/requests/job.js";
import { emptyMetadata } from "../src/requests/metadata.js";
import { AttemptResults } from "../src/requests/results.js";

/** What the end of an attempt changes. */
interface Recorded {
    /** Whether the request counts as run. */
    readonly hasRun: boolean;
    readonly runs: number;
    /** Whether the upstream counts as one that has failed. */
    readonly hasFailed: boolean;
}

/** Records the end of the only attempt of a request. */
function recordEnd(end: AttemptEnd, askedRestMs?: number): Recorded {
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
    const state = view.findUpstream("e1")!;
    let hasFailed = false;
    state.health.recordFailure = () => {
        hasFailed = true;
    };
    const metadata = { ...emptyMetadata, askedRestMs };
    results.record({ job, choice: { state } as never, end, sentAt: 0, metadata });
    return { hasRun: job.hasRun, runs: job.runs, hasFailed };
}

test("a request that an upstream ran until another attempt went on counts as run", () => {
    assert.equal(recordEnd({ kind: "superseded", wasSent: true }), { hasRun: true, runs: 1, hasFailed: false });
    assert.equal(recordEnd({ kind: "superseded", wasSent: false }), { hasRun: false, runs: 0, hasFailed: false });
});

test("a request counts as not run only if its upstream says so or it was not written", () => {
    const notRun = { kind: "notRun", wasSent: true, isMisdirected: false, detail: "" } as const;
    assert.equal(recordEnd(notRun), { hasRun: false, runs: 0, hasFailed: false });
    assert.equal(recordEnd({ kind: "invalid", detail: "" }), { hasRun: false, runs: 0, hasFailed: false });
    const broken = { kind: "broken", reason: "connectionLost", detail: "" } as const;
    assert.equal(recordEnd(broken), { hasRun: true, runs: 1, hasFailed: true });
    assert.is(recordEnd({ kind: "callerLeft" }).hasRun, true);
    assert.is(recordEnd({ kind: "complete", status: 200 }).hasRun, true);
});

test("an upstream whose responses do not end has failed, whatever else they say", () => {
    const rejected = { kind: "notRun", wasSent: true, isMisdirected: false, detail: "" } as const;
    assert.is(recordEnd(rejected).hasFailed, false);
    assert.is(recordEnd({ ...rejected, wasCut: true }).hasFailed, true);
    const failed = { kind: "failed", status: 503, headers: [], body: Buffer.alloc(0) } as const;
    assert.is(recordEnd(failed, 1000).hasFailed, false);
    assert.is(recordEnd({ ...failed, body: undefined }, 1000).hasFailed, true);
    assert.is(recordEnd({ kind: "complete", status: 500 }).hasFailed, true);
});

test.run();
