import { type Change, type Entry, OfferingsFold } from "@radishreel/offerings";
import { encodeFrame } from "@radishreel/wire";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Message, messageSchema, OfferingsSync, type OutgoingMessage } from "../src/index.js";

/** Limit on control traffic, in bytes per second per node. */
const controlLimitBytesPerSecond = 8000;
/** Size of the simulated data centre. */
const gateways = 23;
const agents = 23;
const enginesPerAgent = 8;
const linksToOtherDataCentres = 60;

/** Bytes per second of leases and counts under load, from docs/CAPACITY.md. */
const loadCapacityBytesPerSecond = 15_500;

function readFrameBytes(message: OutgoingMessage | { type: "heartbeat"; }): number {
    return encodeFrame(message).length;
}

const idleRenewal: OutgoingMessage = {
    type: "renew",
    sequence: 100_000,
    grantVersion: 1000,
    offeringsVersion: 100_000,
    uses: [],
    unsure: [],
};
const idleGrant: OutgoingMessage = { type: "grant", sequence: 100_000, version: 1000, leaseMs: 3000 };

test("an agent's traffic with idle gateways and peers stays within the limit on control traffic", () => {
    const heartbeats = 2 * readFrameBytes({ type: "heartbeat" });
    const perSecond = gateways * (readFrameBytes(idleRenewal) + readFrameBytes(idleGrant))
        + (agents - 1 + linksToOtherDataCentres) * heartbeats;
    assert.ok(perSecond < controlLimitBytesPerSecond, `${perSecond} bytes a second`);
});

test("lease and count messages under load stay within the figure of docs/CAPACITY.md, which exceeds the limit", () => {
    const uses = Array.from(
        { length: enginesPerAgent },
        (_, index) => ({ engineId: `engine-${index}`, model: `adapter-${index}@1`, paying: 1, trial: 0 }),
    );
    const counts = Array.from(
        { length: enginesPerAgent },
        (_, index) => ({ id: `engine-${index}`, paying: 10, trial: 3 }),
    );
    // Each gateway has one use on each of the agent's engines; every second grant carries counts.
    const grants = (readFrameBytes({ ...idleGrant, counts }) + readFrameBytes(idleGrant)) / 2;
    const perSecond = gateways * (readFrameBytes({ ...idleRenewal, uses }) + grants);
    assert.ok(perSecond < loadCapacityBytesPerSecond, `${perSecond} bytes a second`);
});

test("demand messages omit zero values, which are parsed as no waiting requests", () => {
    const sparse: OutgoingMessage = { type: "demand", gateway: "g#1", changes: [{ model: "a@1", payingArrivals: 2 }] };
    const read = messageSchema.parse(sparse);
    assert.ok(read.type === "demand");
    assert.equal(read.changes[0], {
        model: "a@1",
        paying: { count: 0, ageMs: 0 },
        trial: { count: 0, ageMs: 0 },
        payingArrivals: 2,
        trialArrivals: 0,
    });
    assert.ok(readFrameBytes(sparse) < 70);
});

function createEntry(name: string): Entry {
    return { section: "adapters", name, value: { baseModel: "base", versions: ["1"] } };
}

/** A fold with one accepted apply for each change. */
function createFold(changes: readonly Change[]): OfferingsFold {
    const fold = new OfferingsFold();
    fold.foldPage({ earliest: 0, end: 0, records: [] });
    changes.forEach((change, offset) => {
        const digest = fold.offerings.readDigestAfter(change);
        const record = {
            kind: "apply",
            applyId: `apply-${offset}`,
            base: fold.version,
            digest,
            author: "operator",
            at: 0,
            change,
        };
        fold.foldPage({ earliest: 0, end: offset + 1, records: [{ offset, data: JSON.stringify(record) }] });
    });
    return fold;
}

/** Runs one exchange of have, want and the reply; returns the types of the reply's messages. */
function runSync(from: OfferingsFold, to: OfferingsFold): Message["type"][] {
    const sender = new OfferingsSync(from);
    const receiver = new OfferingsSync(to);
    const types: Message["type"][] = [];
    const want = receiver.receiveHave(sender.createHave());
    if (want?.type !== "want") {
        return types;
    }
    for (const message of sender.receiveWant(want)) {
        types.push(message.type);
        if (message.type === "changes") {
            receiver.receiveChanges(message);
        }
        if (message.type === "wholePart") {
            receiver.receivePart(message);
        }
    }
    return types;
}

const smallChanges = ["a", "b", "c"].map(name => ({ set: [createEntry(name)], remove: [] }));

test("a peer that is a few changes behind is sent those changes", () => {
    const to = createFold(smallChanges.slice(0, 1));
    assert.equal(runSync(createFold(smallChanges), to), ["changes"]);
    assert.equal([to.version, to.offerings.size.adapters], [2, 3]);
});

test("a peer that knows no version is sent the complete version in parts", () => {
    const large = { set: Array.from({ length: 4500 }, (_, index) => createEntry(`adapter-${index}`)), remove: [] };
    const to = new OfferingsFold();
    assert.equal(runSync(createFold([large]), to), ["wholePart", "wholePart", "wholePart"]);
    assert.equal([to.isKnown, to.version, to.offerings.size.adapters], [true, 0, 4500]);
});

test("a peer that is behind, or knows no version, is sent no want", () => {
    assert.equal(runSync(createFold(smallChanges.slice(0, 1)), createFold(smallChanges)), []);
    assert.equal(runSync(new OfferingsFold(), new OfferingsFold()), []);
});

test.run();
