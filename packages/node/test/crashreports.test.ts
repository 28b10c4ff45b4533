import { type CrashReport, Quarantine } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CrashReports } from "../src/crashes/reports.js";
import type { RequestDigest } from "../src/requests/digest.js";
import { createDigest, createSilentLog, createUpstream } from "./fixtures.js";

const lifeMs = 1000;

/** Creates the reports of one VM, with a store that fails as many writes as the test sets. */
function createReports(vm = "a") {
    const sent: CrashReport[] = [];
    const offered: { name: string; isDropped: boolean; }[] = [];
    const clock = { now: 5000 };
    const waiters: { offers: number; resolve: () => void; }[] = [];
    let remainingFailures = 0;
    const reports = new CrashReports({
        vm,
        incarnation: 1,
        store: {
            appendCrashReport: (name, report) => {
                offered.push({ name, isDropped: report === undefined });
                waiters.filter(({ offers }) => offers === offered.length).forEach(({ resolve }) => resolve());
                remainingFailures -= 1;
                return Promise.resolve(remainingFailures < 0);
            },
        },
        log: createSilentLog(() => 0),
        readWall: () => clock.now,
        broadcast: report => sent.push(report),
        onChange: () => {},
        quarantine: new Quarantine({ lifeMs }),
    });
    const setRemainingFailures = (count: number): void => {
        remainingFailures = count;
    };
    const waitForOffers = (offers: number): Promise<void> =>
        offered.length >= offers ? Promise.resolve() : new Promise(resolve => waiters.push({ offers, resolve }));
    const recordEnd = (upstream: string, ...paths: string[]): void =>
        reports.recordUpstreamEnd({
            upstream: createUpstream(upstream),
            runs: paths.map(path => ({
                requestId: path,
                digest: createDigest(path),
                parts: [],
                answeringMs: undefined,
                sentMs: 1,
            })),
        });
    return { reports, sent, offered, clock, setRemainingFailures, waitForOffers, recordEnd };
}

test("while no request is suspect, no request is digested", () => {
    const { reports } = createReports();
    const digest = {
        get head(): string {
            throw new Error("digested");
        },
        get full(): string {
            throw new Error("digested");
        },
    } as RequestDigest;
    assert.is(reports.findVerdict(digest).kind, "unknown");
    reports.recordCompletion(digest);
});

test("an upstream's end causes one message and one record, however many requests ran there", async () => {
    const { sent, offered, recordEnd, waitForOffers } = createReports();
    recordEnd("e1", "/a", "/b", "/c", "/a");
    await waitForOffers(1);
    assert.equal(sent.map(({ crashes }) => crashes.map(({ requests }) => requests.length)), [[3]]);
    assert.equal(offered, [{ name: "a/1/1", isDropped: false }]);
});

test("a record is written repeatedly until the store accepts it", async () => {
    const { offered, recordEnd, setRemainingFailures, waitForOffers } = createReports();
    setRemainingFailures(2);
    recordEnd("e1", "/a");
    await waitForOffers(3);
    assert.equal(offered.map(({ name }) => name), ["a/1/1", "a/1/1", "a/1/1"]);
});

test("clearances are sent in one message, and stored only if several upstreams ended under the request", async () => {
    const { reports, sent, offered, recordEnd, waitForOffers } = createReports();
    recordEnd("e1", "/a", "/b", "/c");
    recordEnd("e2", "/c");
    await waitForOffers(2);
    reports.recordCompletion(createDigest("/c"));
    await waitForOffers(3);
    reports.recordCompletion(createDigest("/a"));
    reports.recordCompletion(createDigest("/b"));
    while (sent.length < 4) {
        await new Promise(resolve => setImmediate(resolve));
    }
    assert.equal(sent.map(({ clearances }) => clearances.length), [0, 0, 1, 2]);
    assert.is(offered.length, 3);
    assert.equal(["/a", "/b", "/c"].map(path => reports.findVerdict(createDigest(path)).kind), [
        "unknown",
        "unknown",
        "unknown",
    ]);
});

test("expired records are deleted by the VM that wrote them, including those of its earlier process", async () => {
    const { reports, offered, clock, recordEnd, waitForOffers } = createReports();
    const earlier: CrashReport = {
        name: "a/0/1",
        crashes: [{ upstream: "e0", at: 5000, requests: ["x.1"] }],
        clearances: [],
    };
    reports.applyReport(earlier);
    reports.applyReport({ ...earlier, name: "b/1/1" });
    recordEnd("e1", "/a");
    await waitForOffers(1);
    clock.now += lifeMs;
    reports.expireOld();
    // Expired records are only looked for every ten seconds.
    clock.now += 10_000;
    reports.expireOld();
    await waitForOffers(3);
    assert.equal(offered.filter(({ isDropped }) => isDropped).map(({ name }) => name).sort(), ["a/0/1", "a/1/1"]);
});

test("expired records of a removed VM are deleted by a VM that reads them", async () => {
    const { reports, offered, clock, waitForOffers } = createReports();
    clock.now = 50_000;
    reports.applyReport({
        name: "gone/1/1",
        crashes: [{ upstream: "e0", at: 50_000 - 2 * lifeMs, requests: ["x.1"] }],
        clearances: [],
    });
    reports.expireOld();
    await waitForOffers(1);
    assert.equal(offered, [{ name: "gone/1/1", isDropped: true }]);
});

test("parts of a prompt without an answer are reported in few bytes, those of all runs alike", async () => {
    const { reports, sent, waitForOffers } = createReports();
    const many = Array.from({ length: 3000 }, (_, index) => `${index}-${"x".repeat(20)}`);
    reports.recordAnswer(["shared"]);
    reports.recordUpstreamEnd({
        upstream: createUpstream("e1"),
        runs: [many, ["shared", "f"], ["shared", "f"], ["shared"]].map((parts, index) => ({
            requestId: String(index),
            digest: createDigest(`/${index}`),
            parts,
            answeringMs: undefined,
            sentMs: 1,
        })),
    });
    await waitForOffers(1);
    const [crash] = sent[0]!.crashes;
    assert.ok(JSON.stringify(crash).length < 24_000);
    assert.equal(crash!.prompts!.slice(1), [["f"]]);
    assert.equal(reports.parts.listSuspects(["shared"], 5000), []);
});

test("an end under parts that were just answered reports none of them", async () => {
    const { reports, sent, recordEnd, waitForOffers } = createReports();
    reports.recordAnswer(["shared"]);
    recordEnd("e1", "/a");
    await waitForOffers(1);
    assert.is(sent[0]!.crashes[0]!.prompts, undefined);
});

test("the clearance of a part is sent, and stored if a VM that starts later might condemn the part", async () => {
    const { reports, sent, offered, clock, waitForOffers } = createReports();
    const recordPartEnd = (upstream: string): void =>
        reports.recordUpstreamEnd({
            upstream: createUpstream(upstream),
            runs: [{ requestId: "a", digest: createDigest("/a"), parts: ["p"], answeringMs: undefined, sentMs: 1 }],
        });
    recordPartEnd("e1");
    recordPartEnd("e2");
    await waitForOffers(2);
    clock.now += 10;
    reports.recordAnswer(["p"]);
    await waitForOffers(3);
    assert.equal(sent[2]!.partClearances, [{ part: "p", at: clock.now }]);
    assert.is(offered.length, 3);
    assert.is(reports.parts.countEnds("p"), 0);
});

test.run();
