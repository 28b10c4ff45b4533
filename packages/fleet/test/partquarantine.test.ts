import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type CrashReport, PartQuarantine, Quarantine } from "../src/index.js";

const day = 86_400_000;

/** Adds ends of upstreams, one a second, under these prompts. @returns The time after the last. */
function addEnds(quarantine: PartQuarantine, names: string, prompts: string[][], from = 1000): number {
    [...names].forEach((name, index) => quarantine.applyEnd(name, from + index * 1000, prompts, from + index * 1000));
    return from + names.length * 1000;
}

function listParts(quarantine: PartQuarantine, now: number): string[][] {
    return quarantine.listCondemned(now).map(({ parts }) => [...parts]);
}

test("a part is condemned after four upstreams have ended under it, and not before", () => {
    const quarantine = new PartQuarantine();
    addEnds(quarantine, "abc", [["f"]]);
    assert.is(quarantine.findCondemned(["f"], 4000), undefined);
    quarantine.applyEnd("d", 4000, [["f"]], 4000);
    assert.equal(quarantine.findCondemned(["x", "f"], 4000)?.upstreams, ["a", "b", "c", "d"]);
    assert.is(quarantine.findCondemned(["x"], 4000), undefined);
});

test("several VMs that report the end of one upstream count once", () => {
    const quarantine = new PartQuarantine();
    for (let vm = 0; vm < 9; vm++) {
        quarantine.applyEnd("a", 1000 + vm, [["f"]], 2000);
    }
    assert.is(quarantine.countEnds("f"), 1);
    assert.equal(listParts(quarantine, 2000), []);
});

test("a part that an upstream has answered since is not condemned with the fatal part beside it", () => {
    const quarantine = new PartQuarantine();
    addEnds(quarantine, "abc", [["s", "f"], ["s"]]);
    quarantine.applyClearance("s", 3500);
    addEnds(quarantine, "def", [["s", "f"], ["s"]], 4000);
    assert.equal(listParts(quarantine, 7000), [["f"]]);
});

test("answers at this VM clear a part as well, also one that is suspected only later", () => {
    const quarantine = new PartQuarantine();
    quarantine.recordAnswer(["s"], 500);
    addEnds(quarantine, "abcd", [["s", "f"]]);
    assert.equal(listParts(quarantine, 5000), [["f"]]);
    assert.equal(quarantine.recordAnswer(["s", "x"], 6000), ["s"]);
    assert.is(quarantine.countEnds("s"), 0);
});

test("the ends that one part explains do not count against a part that ran beside it", () => {
    const quarantine = new PartQuarantine();
    quarantine.applyEnd("z", 500, [["f"]], 500);
    addEnds(quarantine, "abcd", [["f"], ["p"]]);
    assert.equal(listParts(quarantine, 5000), [["f"]]);
});

test("parts under which the same upstreams ended are refused only together until another end tells them apart", () => {
    const quarantine = new PartQuarantine();
    addEnds(quarantine, "abcd", [["f", "q"]]);
    assert.ok(quarantine.findCondemned(["q", "f"], 5000));
    assert.is(quarantine.findCondemned(["q"], 5000), undefined);
    assert.is(quarantine.findCondemned(["f"], 5000), undefined);
    quarantine.applyEnd("e", 5000, [["f"]], 5000);
    assert.equal(listParts(quarantine, 5000), [["f"]]);
    assert.is(quarantine.findCondemned(["q"], 5000), undefined);
});

test("parts of different requests under which the same five upstreams ended are each refused", () => {
    const quarantine = new PartQuarantine();
    addEnds(quarantine, "abcde", [["f"], ["q"]]);
    assert.ok(quarantine.findCondemned(["q"], 6000));
    assert.ok(quarantine.findCondemned(["f"], 6000));
    quarantine.applyClearance("q", 6000);
    assert.equal(listParts(quarantine, 6000), [["f"]]);
});

test("a second fatal part is condemned although it ended only upstreams that the first was beside, and then tried", () => {
    const quarantine = new PartQuarantine();
    quarantine.applyEnd("z", 500, [["f"]], 500);
    addEnds(quarantine, "abcdef", [["f"], ["g"]]);
    assert.equal(listParts(quarantine, 7000), [["f"], ["g"]]);
    assert.equal(listParts(quarantine, 16_000), [["f"]]);
    assert.equal(quarantine.findOnTrial(["g"], 16_000)?.parts, ["g"]);
    quarantine.applyEnd("h", 16_500, [["g"]], 16_500);
    assert.equal(listParts(quarantine, 90_000), [["f"], ["g"]]);
    assert.is(quarantine.findOnTrial(["g"], 90_000), undefined);
});

test("a part that was answered before is condemned only after five ends over two seconds", () => {
    const quarantine = new PartQuarantine();
    quarantine.applyClearance("s", 900);
    for (const [index, name] of [..."abcdef"].entries()) {
        quarantine.applyEnd(name, 1000 + index, [["s"]], 2000);
    }
    assert.equal(listParts(quarantine, 2000), []);
    quarantine.applyEnd("g", 3000, [["s"]], 3000);
    assert.equal(listParts(quarantine, 3000), [["s"]]);
});

test("a part that was answered within the last two seconds is no suspect", () => {
    const quarantine = new PartQuarantine();
    quarantine.recordAnswer(["s"], 1000);
    assert.equal(quarantine.listSuspects(["s", "f"], 2999), ["f"]);
    assert.equal(quarantine.listSuspects(["s", "f"], 3000), ["s", "f"]);
});

test("condemned parts stay so, and other evidence is dropped after a day", () => {
    const quarantine = new Quarantine();
    const createReport = (name: string, parts: string[]): CrashReport => ({
        name,
        crashes: [{ upstream: name, at: 1000, requests: [], prompts: [parts] }],
        clearances: [],
    });
    for (const name of ["a", "b", "c", "d"]) {
        quarantine.applyReport(createReport(name, ["f"]), 1000);
    }
    quarantine.applyReport(createReport("e", ["p"]), 1000);
    quarantine.expireOld(1000 + day);
    quarantine.expireOld(1000 + 2 * day);
    assert.ok(quarantine.parts.findCondemned(["f"], 3 * day));
    assert.is(quarantine.parts.isTracked("p"), false);
    assert.equal(["a", "d", "e"].map(name => quarantine.hasReport(name)), [true, true, false]);
    const late = new Quarantine();
    quarantine.listReports(3 * day).forEach(report => late.applyReport(report, 3 * day));
    assert.ok(late.parts.findCondemned(["f"], 3 * day));
});

test("endless new parts displace no condemned part and condemn none", () => {
    const quarantine = new PartQuarantine({ maxEvidence: 200 });
    addEnds(quarantine, "abcd", [["s1"], ["f"]]);
    quarantine.applyClearance("s1", 5000);
    for (let index = 0; index < 500; index++) {
        quarantine.applyEnd(`e${index}`, 6000 + index, [[`n${index}`, `m${index}`]], 6000 + index);
    }
    assert.equal(listParts(quarantine, 7000), [["f"]]);
    assert.ok(quarantine.suspectCount <= 201);
});

const partArbitrary = fc.constantFrom("f", "g", "p", "s");
const reportArbitrary = fc.record({
    crashes: fc.array(
        fc.record({
            upstream: fc.constantFrom("a", "b", "c", "d", "e", "h"),
            at: fc.nat(5000),
            requests: fc.constant<string[]>([]),
            prompts: fc.array(fc.uniqueArray(partArbitrary, { minLength: 1 }), { minLength: 1, maxLength: 3 }),
        }),
        { maxLength: 3 },
    ),
    partClearances: fc.array(fc.record({ part: partArbitrary, at: fc.nat(5000) }), { maxLength: 1 }),
});

test("reports about parts give the same verdicts in any order", () => {
    const reportsArbitrary = fc.array(reportArbitrary, { minLength: 1, maxLength: 10 }).map(contents =>
        contents.map((content, index): CrashReport => ({ name: `r${index}`, clearances: [], ...content }))
    );
    const arbitrary = reportsArbitrary.chain(reports =>
        fc.tuple(fc.constant(reports), fc.shuffledSubarray(reports, { minLength: reports.length }))
    );
    const listVerdicts = (reports: readonly CrashReport[]): unknown => {
        const quarantine = new Quarantine();
        reports.forEach(report => quarantine.applyReport(report, 6000));
        return quarantine.parts.listCondemned(6000);
    };
    fc.assert(
        fc.property(arbitrary, ([reports, shuffled]) => {
            assert.equal(listVerdicts(shuffled), listVerdicts(reports));
        }),
        { seed: 56, numRuns: 500 },
    );
});

test.run();
