import type { LogPage } from "@radishreel/log";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    type Change,
    emptyVersion,
    encodeRecord,
    OfferingsFold,
    OfferingsState,
    type SnapshotRecord,
} from "../src/index.js";

/** The complete history of a log that serves only the records from `earliest` on. */
class ModelLog {
    readonly records: string[] = [];
    earliest = 0;

    append(data: string): number {
        return this.records.push(data) - 1;
    }

    read(from: number, count: number): LogPage {
        const start = Math.max(from, this.earliest);
        const records = this.records.slice(start, start + count).map((data, index) => ({
            offset: start + index,
            data,
        }));
        return { earliest: this.earliest, end: this.records.length, records };
    }
}

function createAdapterChange(name: string, version: string): Change {
    return { set: [{ section: "adapters", name, value: { baseModel: "base", versions: [version] } }], remove: [] };
}

function createApply(fold: OfferingsFold, applyId: string, name: string, base = fold.version) {
    const change = createAdapterChange(name, applyId);
    return {
        kind: "apply" as const,
        applyId,
        base,
        digest: fold.offerings.readDigestAfter(change),
        author: "operator",
        at: 0,
        change,
    };
}

/** Folds the complete history from its first record. Every reader must agree with the result. */
function createReference(log: ModelLog): { versions: Map<number, string>; fold: OfferingsFold; } {
    const fold = new OfferingsFold();
    const versions = new Map<number, string>([[emptyVersion, fold.offerings.digest]]);
    log.records.forEach((data, offset) => {
        fold.foldPage({ earliest: 0, end: log.records.length, records: [{ offset, data }] });
        versions.set(fold.version, fold.offerings.digest);
    });
    return { versions, fold };
}

function readAll(fold: OfferingsFold, log: ModelLog): void {
    fold.foldPage(log.read(fold.nextOffset, Infinity));
}

interface Step {
    readonly kind:
        | "apply"
        | "chunkedApply"
        | "interruptedApply"
        | "snapshot"
        | "staleSnapshot"
        | "read"
        | "trim"
        | "restart"
        | "peer";
    readonly reader: number;
    readonly other: number;
    readonly amount: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    kind: fc.constantFrom(
        "apply",
        "apply",
        "chunkedApply",
        "interruptedApply",
        "snapshot",
        "staleSnapshot",
        "read",
        "read",
        "trim",
        "restart",
        "peer",
    ),
    reader: fc.nat(2),
    other: fc.nat(2),
    amount: fc.nat(6),
});

/** Appends the records of a step. An interrupted writer's records are appended one at a time, among those of others. */
class Writers {
    private readonly pending: string[][] = [];
    private count = 0;

    constructor(private readonly log: ModelLog) {}

    write(texts: string[], isInterrupted: boolean): void {
        if (isInterrupted) {
            this.pending.push(texts);
            return;
        }
        texts.forEach(text => this.log.append(text));
    }

    createName(): string {
        return `apply-${++this.count}`;
    }

    /** Appends the next record of an interrupted writer. */
    advance(): void {
        const texts = this.pending.find(entry => entry.length > 0);
        const text = texts?.shift();
        if (text !== undefined) {
            this.log.append(text);
        }
    }
}

test("over random histories every reader agrees with a reader of the complete log, and no version decreases", () => {
    fc.assert(
        fc.property(fc.array(stepArbitrary, { minLength: 5, maxLength: 60 }), steps => {
            const log = new ModelLog();
            const writers = new Writers(log);
            const readers = [new OfferingsFold(), new OfferingsFold(), new OfferingsFold()];
            const lastVersions = [emptyVersion, emptyVersion, emptyVersion];
            const snapshots: SnapshotRecord[] = [];
            for (const { kind, reader, other, amount } of steps) {
                const fold = readers[reader]!;
                writers.advance();
                runStep(kind, fold, readers[other]!, amount, log, writers, snapshots);
                if (kind === "restart") {
                    readers[reader] = new OfferingsFold();
                    lastVersions[reader] = emptyVersion;
                }
                const { versions } = createReference(log);
                readers.forEach((each, index) => {
                    if (!each.isKnown) {
                        return;
                    }
                    assert.ok(each.version >= lastVersions[index]!, "the version decreased");
                    lastVersions[index] = each.version;
                    assert.is(
                        each.offerings.digest,
                        versions.get(each.version),
                        `version ${each.version} differs from the complete log's`,
                    );
                });
            }
            readers.forEach(fold => readAll(fold, log));
            const { fold: reference } = createReference(log);
            for (const fold of readers.filter(each => each.isKnown && !each.hasGap)) {
                assert.is(fold.version, reference.version, "a reader of every record is not at the latest version");
            }
        }),
        { seed: 11, numRuns: 1500 },
    );
});

function runStep(
    kind: Step["kind"],
    fold: OfferingsFold,
    peer: OfferingsFold,
    amount: number,
    log: ModelLog,
    writers: Writers,
    snapshots: SnapshotRecord[],
): void {
    switch (kind) {
        case "apply":
        case "chunkedApply":
        case "interruptedApply": {
            if (!fold.isKnown) {
                return;
            }
            const name = writers.createName();
            const limit = kind === "apply" ? 10_000 : 60;
            writers.write(
                encodeRecord(createApply(fold, name, `adapter-${amount}`), name, limit),
                kind === "interruptedApply",
            );
            return;
        }
        case "snapshot": {
            const snapshot = fold.createSnapshot(0);
            if (snapshot !== undefined) {
                snapshots.push(snapshot);
                const name = writers.createName();
                writers.write(encodeRecord(snapshot, name, amount % 2 === 0 ? 10_000 : 80), amount > 4);
            }
            return;
        }
        case "staleSnapshot": {
            const snapshot = snapshots[amount % Math.max(1, snapshots.length)];
            if (snapshot !== undefined) {
                log.append(JSON.stringify(snapshot));
            }
            return;
        }
        case "read":
            fold.foldPage(log.read(fold.nextOffset, amount + 1));
            return;
        case "trim":
            log.earliest = Math.max(log.earliest, log.records.length - amount);
            return;
        case "peer": {
            const changes = peer.isKnown ? peer.listChangesAfter(fold.version) : undefined;
            if (changes !== undefined && !fold.hasGap) {
                changes.forEach(change => fold.foldPeerChange(change));
            }
            else if (peer.isKnown) {
                fold.foldPeerVersion(peer.readCompleteVersion());
            }
            return;
        }
        case "restart":
    }
}

test("of two applies against the same version the first is accepted, and the second is rejected with baseMoved", () => {
    const log = new ModelLog();
    const fold = new OfferingsFold();
    readAll(fold, log);
    log.append(JSON.stringify(createApply(fold, "first", "a")));
    log.append(JSON.stringify(createApply(fold, "second", "b")));
    readAll(fold, log);
    assert.equal(fold.findOutcome("first"), { applyId: "first", offset: 0, accepted: true });
    assert.equal(fold.findOutcome("second"), { applyId: "second", offset: 1, accepted: false, reason: "baseMoved" });
    assert.ok(fold.offerings.findAdapter("a"));
    assert.not(fold.offerings.findAdapter("b"));
});

test("an apply that is appended twice, because the first response was lost, takes effect once", () => {
    const log = new ModelLog();
    const fold = new OfferingsFold();
    readAll(fold, log);
    const apply = JSON.stringify(createApply(fold, "only", "a"));
    log.append(apply);
    log.append(apply);
    readAll(fold, log);
    assert.is(fold.version, 0);
    assert.is(fold.findOutcome("only")?.accepted, true);
});

test("a reader that starts after records were trimmed knows no version until a snapshot covers them", () => {
    const log = new ModelLog();
    const writer = new OfferingsFold();
    readAll(writer, log);
    log.append(JSON.stringify(createApply(writer, "one", "a")));
    readAll(writer, log);
    log.earliest = 1;
    const late = new OfferingsFold();
    readAll(late, log);
    assert.not(late.isKnown);
    log.append(JSON.stringify(writer.createSnapshot(0)));
    readAll(late, log);
    assert.ok(late.isKnown);
    assert.is(late.version, 0);
    assert.is(late.offerings.digest, writer.offerings.digest);
});

test("applying a change of one adapter does not hash the hundred thousand other adapters again", () => {
    const state = new OfferingsState();
    const set = Array.from({ length: 100_000 }, (_, index) => createAdapterChange(`adapter-${index}`, "1").set[0]!);
    state.applyChange({ set, remove: [] });
    let hashed = 0;
    const change = createAdapterChange("adapter-5", "2");
    const countingChange: Change = {
        set: change.set.map(entry =>
            new Proxy(entry, { get: (target, key) => (hashed++, Reflect.get(target, key) as unknown) })
        ),
        remove: [],
    };
    state.applyChange(countingChange);
    assert.ok(hashed < 20, `${hashed} reads`);
    assert.equal(state.findAdapter("adapter-5")?.versions, ["2"]);
});

test.run();
