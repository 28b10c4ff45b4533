/**
 * Guards against a poison request: one request, sent again and again, ended 36 engines, since VMs did not record which
 * requests ran when an engine ended. platform/test/crashing.test.ts covers the same failure with whole VMs.
 */
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type CrashReport, Quarantine } from "../src/index.js";

const fatal = "aa.1";
const harmless = "aa.2";
const other = "bb.1";

test("a request is refused once three upstreams have ended while they ran it, and not before", () => {
    const quarantine = new Quarantine();
    assert.is(quarantine.findVerdict(fatal, 0).kind, "unknown");
    quarantine.applyCrash({ upstream: "e1", at: 1, requests: [fatal] }, 1);
    quarantine.applyCrash({ upstream: "e2", at: 2, requests: [fatal] }, 2);
    assert.equal(quarantine.findVerdict(fatal, 2), { kind: "suspected", upstreams: ["e1", "e2"] });
    quarantine.applyCrash({ upstream: "e3", at: 3, requests: [fatal] }, 3);
    assert.equal(quarantine.findVerdict(fatal, 3), {
        kind: "refused",
        upstreams: ["e1", "e2", "e3"],
        until: 3 + 1_800_000,
    });
    assert.is(quarantine.findVerdict(harmless, 3).kind, "unknown");
});

test("an upstream that ended while it ran several copies of a request counts once, whichever VM reports it", () => {
    const quarantine = new Quarantine();
    for (const name of ["a/1/1", "b/1/1", "c/1/1"]) {
        quarantine.applyReport({ name, crashes: [{ upstream: "e1", at: 1, requests: [fatal] }], clearances: [] }, 1);
    }
    assert.equal(quarantine.findVerdict(fatal, 1), { kind: "suspected", upstreams: ["e1"] });
});

test("a complete response clears a request of all earlier ends, and of no later ones", () => {
    const quarantine = new Quarantine();
    for (const [index, upstream] of ["e1", "e2", "e3"].entries()) {
        quarantine.applyCrash({ upstream, at: index, requests: [fatal, other] }, index);
    }
    assert.ok(quarantine.applyClearance(quarantine.createClearance(fatal, 10), 10));
    assert.is(quarantine.findVerdict(fatal, 10).kind, "unknown");
    assert.is(quarantine.findVerdict(other, 10).kind, "refused");
    quarantine.applyCrash({ upstream: "e4", at: 11, requests: [fatal] }, 11);
    assert.is(quarantine.findVerdict(fatal, 11).kind, "suspected");
});

test("the end of an upstream counts for half an hour", () => {
    const quarantine = new Quarantine();
    for (const upstream of ["e1", "e2", "e3"]) {
        quarantine.applyCrash({ upstream, at: 0, requests: [fatal] }, 0);
    }
    assert.is(quarantine.findVerdict(fatal, 1_799_999).kind, "refused");
    assert.is(quarantine.findVerdict(fatal, 1_800_000).kind, "unknown");
    quarantine.expireOld(1_800_000);
    assert.is(quarantine.requestCount, 0);
    assert.is(quarantine.mayTrack("aa"), false);
});

test("an end that a VM with a fast clock reports counts for no longer than others", () => {
    const quarantine = new Quarantine();
    for (const upstream of ["e1", "e2", "e3"]) {
        quarantine.applyCrash({ upstream, at: 9_000_000, requests: [fatal] }, 5);
    }
    assert.is(quarantine.findVerdict(fatal, 5 + 1_800_000).kind, "unknown");
});

test("only requests that share the digest head of a suspect request need their body checked", () => {
    const quarantine = new Quarantine();
    quarantine.applyCrash({ upstream: "e1", at: 0, requests: [fatal, harmless] }, 0);
    assert.is(quarantine.mayTrack("aa"), true);
    assert.is(quarantine.mayTrack("bb"), false);
});

test("a caller with ever new bodies neither displaces refused requests nor exceeds the tracking limit", () => {
    const quarantine = new Quarantine({ maxRequests: 50 });
    for (const upstream of ["e1", "e2", "e3"]) {
        quarantine.applyCrash({ upstream, at: 0, requests: [fatal] }, 0);
    }
    for (let index = 0; index < 1000; index++) {
        quarantine.applyCrash({ upstream: `f${index}`, at: 1, requests: [`cc.${index}`] }, 1);
    }
    assert.is(quarantine.requestCount, 50);
    assert.is(quarantine.droppedCount, 951);
    assert.is(quarantine.findVerdict(fatal, 1).kind, "refused");
});

test("a VM that cannot read the store gets recent reports, and those that a refusal is based on", () => {
    const quarantine = new Quarantine();
    const createReport = (name: string, at: number, request: string): CrashReport => ({
        name,
        crashes: [{ upstream: name, at, requests: [request] }],
        clearances: [],
    });
    for (const name of ["a", "b", "c"]) {
        quarantine.applyReport(createReport(name, 0, fatal), 0);
    }
    quarantine.applyReport(createReport("d", 0, other), 0);
    quarantine.applyReport(createReport("e", 100_000, other), 100_000);
    const listNames = (now: number) => quarantine.listReports(now).map(({ name }) => name);
    assert.equal(listNames(100_000), ["a", "b", "c", "e"]);
    assert.equal(listNames(200_000), ["a", "b", "c"]);
    assert.equal(listNames(1_800_000), []);
});

const crashArbitrary = fc.record({
    upstream: fc.constantFrom("e1", "e2", "e3", "e4"),
    at: fc.nat(100),
    requests: fc.uniqueArray(fc.constantFrom(fatal, harmless, other), { minLength: 1 }),
});
const clearanceArbitrary = fc.record({ request: fc.constantFrom(fatal, harmless, other), at: fc.nat(100) });

test("reports in any order, and duplicates, give the same verdicts", () => {
    const reportsArbitrary = fc.array(
        fc.record({
            crashes: fc.array(crashArbitrary, { maxLength: 3 }),
            clearances: fc.array(clearanceArbitrary, { maxLength: 1 }),
        }),
        { minLength: 1, maxLength: 8 },
    ).map(contents => contents.map((content, index): CrashReport => ({ name: `r${index}`, ...content })));
    const arbitrary = reportsArbitrary.chain(reports =>
        fc.tuple(
            fc.constant(reports),
            fc.shuffledSubarray([...reports, ...reports], { minLength: reports.length * 2 }),
        )
    );
    const listVerdicts = (reports: readonly CrashReport[]): unknown[] => {
        const quarantine = new Quarantine();
        for (const report of reports) {
            quarantine.applyReport(report, 200);
        }
        return [fatal, harmless, other].map(request => {
            const verdict = quarantine.findVerdict(request, 200);
            return verdict.kind === "unknown" ? verdict : { ...verdict, upstreams: [...verdict.upstreams].sort() };
        });
    };
    fc.assert(
        fc.property(arbitrary, ([reports, shuffled]) => {
            assert.equal(listVerdicts(shuffled), listVerdicts(reports));
        }),
        { seed: 31, numRuns: 500 },
    );
});

test.run();
