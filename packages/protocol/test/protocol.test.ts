import { type Change, type Entry, OfferingsFold } from "@radishreel/offerings";
import { encodeFrame } from "@radishreel/wire";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Message, messageSchema, OfferingsSync, type OutgoingMessage } from "../src/index.js";

/** The letter's limit on control, in bytes a second a node, and the shape of a data centre at its size. */
const limitPerSecond = 8000;
const gateways = 23;
const agents = 23;
const enginesPerAgent = 8;
const linksToOtherDataCentres = 60;

/** Bytes a second that docs/CAPACITY.md gives for leases and counts under load. */
const capacityUnderLoad = 15_500;

function readSize(message: OutgoingMessage | { type: "heartbeat"; }): number {
    return encodeFrame(message).length;
}

const renewAtRest: OutgoingMessage = {
    type: "renew",
    sequence: 100_000,
    grantVersion: 1000,
    offeringsVersion: 100_000,
    uses: [],
    unsure: [],
};
const grantAtRest: OutgoingMessage = { type: "grant", sequence: 100_000, version: 1000, leaseMs: 3000 };

test("what an agent and its gateways and peers say at rest stays within the limit on control", () => {
    const heartbeats = 2 * readSize({ type: "heartbeat" });
    const perSecond = gateways * (readSize(renewAtRest) + readSize(grantAtRest))
        + (agents - 1 + linksToOtherDataCentres) * heartbeats;
    assert.ok(perSecond < limitPerSecond, `${perSecond} bytes a second`);
});

test("what is said of requests under load is no more than docs/CAPACITY.md says, which is over the limit", () => {
    const uses = Array.from(
        { length: enginesPerAgent },
        (_, index) => ({ engineId: `engine-${index}`, model: `adapter-${index}@1`, paying: 1, trial: 0 }),
    );
    const counts = Array.from(
        { length: enginesPerAgent },
        (_, index) => ({ id: `engine-${index}`, paying: 10, trial: 3 }),
    );
    // One use on each of the agent's engines from each gateway; counts go with every second renewal.
    const grants = (readSize({ ...grantAtRest, counts }) + readSize(grantAtRest)) / 2;
    const perSecond = gateways * (readSize({ ...renewAtRest, uses }) + grants);
    assert.ok(perSecond < capacityUnderLoad, `${perSecond} bytes a second`);
});

test("what is zero is left out of demand, and read as nobody waiting", () => {
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
    assert.ok(readSize(sparse) < 70);
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

/** Carries messages between two sides until neither has more to say. */
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

const small = ["a", "b", "c"].map(name => ({ set: [createEntry(name)], remove: [] }));

test("a peer that is a few changes behind is sent those changes", () => {
    const to = createFold(small.slice(0, 1));
    assert.equal(runSync(createFold(small), to), ["changes"]);
    assert.equal([to.version, to.offerings.size.adapters], [2, 3]);
});

test("a peer that knows nothing is sent the whole, in parts", () => {
    const large = { set: Array.from({ length: 4500 }, (_, index) => createEntry(`adapter-${index}`)), remove: [] };
    const to = new OfferingsFold();
    assert.equal(runSync(createFold([large]), to), ["wholePart", "wholePart", "wholePart"]);
    assert.equal([to.isKnown, to.version, to.offerings.size.adapters], [true, 0, 4500]);
});

test("a peer that is ahead, or that knows nothing itself, is asked for nothing", () => {
    assert.equal(runSync(createFold(small.slice(0, 1)), createFold(small)), []);
    assert.equal(runSync(new OfferingsFold(), new OfferingsFold()), []);
});

test.run();
