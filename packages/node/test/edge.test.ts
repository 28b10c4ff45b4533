import { test } from "uvu";
import * as assert from "uvu/assert";
import { MemoryGuard, MemoryLedger, unboundedEdge } from "../src/edge/index.js";
import { createSilentLog } from "./fixtures.js";
import { startSlowReaderServer } from "./slowreaders.js";

const kb = 1024;

/** Creates a ledger with a bound of 300 KB. */
function createLedger(): MemoryLedger<string> {
    return new MemoryLedger({ memoryMb: 300 * kb / (0.15 * 1024 * 1024) });
}

/** Waits until a condition holds, or fails after some time. */
async function waitUntil(isTrue: () => boolean, what: string): Promise<void> {
    const endAt = performance.now() + 10_000;
    while (!isTrue()) {
        assert.ok(performance.now() < endAt, `not in time: ${what}`);
        await new Promise(resolve => setImmediate(resolve));
    }
}

test("beyond the bound, requests are refused and upstreams of slow callers are not read, until clearly below it", () => {
    const ledger = createLedger();
    assert.is(ledger.add("slow", 0, 0), true);
    assert.is(ledger.add("quick", 0, 0), true);
    assert.is(ledger.updateResponse("slow", { unread: 200 * kb, taken: 0 }, 0), true);
    assert.is(ledger.updateResponse("slow", { unread: 290 * kb, taken: 0 }, 1), false, "the upstream is not read");
    assert.is(ledger.isExceeded, true);
    assert.is(ledger.add("next", 0, 1), false);
    assert.is(ledger.updateResponse("quick", { unread: 0, taken: 10 * kb }, 1), true, "a caller that reads goes on");
    ledger.updateResponse("slow", { unread: 250 * kb, taken: 40 * kb }, 2);
    assert.is(ledger.isExceeded, true, "a little below the bound");
    ledger.updateResponse("slow", { unread: 200 * kb, taken: 90 * kb }, 3);
    assert.is(ledger.isExceeded, false);
    assert.is(ledger.add("next", 0, 3), true);
    ledger.remove("slow");
    ledger.remove("quick");
    ledger.remove("next");
    assert.is(ledger.heldBytes, 0);
});

test("only as many stalled callers as needed are disconnected, the longest stalled first", () => {
    // Guards against a bound that disconnects callers who read, or all slow ones at once.
    const ledger = createLedger();
    for (const id of ["a", "b", "c", "reads"]) {
        ledger.add(id, 0, 0);
        ledger.finishBody(id, 0);
    }
    ledger.updateResponse("b", { unread: 70 * kb, taken: 0 }, 100);
    ledger.updateResponse("a", { unread: 70 * kb, taken: 0 }, 200);
    ledger.updateResponse("c", { unread: 70 * kb, taken: 0 }, 300);
    assert.equal(ledger.listStalled(5000), [], "below the bound");
    ledger.updateResponse("a", { unread: 70 * kb, taken: 1 }, 5000);
    ledger.updateResponse("reads", { unread: 70 * kb, taken: 100 * kb }, 5000);
    assert.equal(ledger.listStalled(5900), ["b"]);
    assert.equal(ledger.listStalled(35_000), ["b", "c", "a", "reads"], "after 30 s, whatever is held");
});

test("an announced body counts when its request begins, and another one as it arrives", () => {
    // Guards against uploads that were accepted together while little was held.
    const ledger = createLedger();
    assert.is(ledger.add("a", 200 * kb, 0), true);
    assert.is(ledger.add("b", 100 * kb, 0), false);
    assert.is(ledger.recordBody("a", 200 * kb, 1), true);
    assert.is(ledger.add("c", 0, 1), true);
    assert.is(ledger.recordBody("c", 50 * kb, 1), true);
    assert.is(ledger.recordBody("c", 50 * kb, 2), false);
    assert.equal(ledger.listStalled(2000), ["a"], "an upload that stands still");
});

test("bodies that never end leave room for small requests, and the longest of them makes room for another", () => {
    // Guards against callers who send a byte now and then, so that their bodies never stand still.
    const ledger = createLedger();
    ledger.add("old", 0, 0);
    ledger.add("next", 0, 500);
    assert.is(ledger.recordBody("old", 240 * kb, 500), true);
    assert.is(ledger.recordBody("next", 10 * kb, 600), true, "a small body");
    assert.is(ledger.recordBody("next", 10 * kb, 600), false);
    assert.is(ledger.findLongestUpload(600), undefined, "none has taken a second");
    assert.is(ledger.add("announced", 20 * kb, 600), false);
    assert.is(ledger.add("small", kb, 600), true);
    assert.is(ledger.findLongestUpload(1000), "old");
    ledger.remove("old");
    assert.is(ledger.recordBody("next", 0, 1000), true);
    assert.is(ledger.add("announced", 20 * kb, 1000), true);
    ledger.finishBody("next", 1000);
    ledger.finishBody("small", 1000);
    assert.is(ledger.findLongestUpload(2000), "announced", "a complete body does not count");
});

test("a body that is the only one may take the whole bound, and no more", () => {
    const ledger = createLedger();
    assert.is(ledger.add("announced", 290 * kb, 0), true);
    ledger.remove("announced");
    assert.is(ledger.add("longer", 300 * kb, 0), false);
    ledger.add("chunked", 0, 0);
    assert.is(ledger.recordBody("chunked", 290 * kb, 0), true);
    assert.is(ledger.recordBody("chunked", 10 * kb, 0), false);
    ledger.remove("chunked");
    assert.is(ledger.heldBytes, 0);
});

/** Opens callers that read nothing, and returns what happens to them and to others. */
async function runSlowReaders(readers: number, isBounded: boolean) {
    let now = 0;
    const memoryMb = 4;
    const refusals: string[] = [];
    const guard = new MemoryGuard({
        memoryMb,
        log: createSilentLog(() => now),
        readTime: () => now,
        onRefusal: reason => refusals.push(reason),
    });
    const edge = isBounded ? guard : unboundedEdge;
    const world = await startSlowReaderServer(edge);
    const readHeld = (): number => [...world.callers].reduce((sum, { unreadBytes }) => sum + unreadBytes, 0);
    try {
        // The kernel takes some megabytes for each accepted request before anything waits in the process.
        for (let index = 0; index < readers; index += 1) {
            const waiting = [...world.callers].length + refusals.length;
            await world.open("200");
            await waitUntil(() => [...world.callers].length + refusals.length > waiting, "the request arrives");
            edge.update();
        }
        await waitUntil(
            () =>
                [...world.callers].every(({ unreadBytes }) => unreadBytes > 0) || readHeld() > guard.ledger.boundBytes,
            "responses wait for their callers",
        );
        edge.update();
        const heldBytes = readHeld();
        const during = await world.ask("1");
        now += 1500;
        edge.update();
        await waitUntil(() => !isBounded || !guard.ledger.isExceeded, "stalled callers are disconnected");
        const after = await world.ask("1");
        return { heldBytes, during, after, refused: refusals.length, open: world.callers.size, guard };
    }
    finally {
        world.stop();
    }
}

test("slow readers hold no more than the bound, and others are served once the stalled ones are disconnected", async () => {
    const { heldBytes, during, after, refused, guard } = await runSlowReaders(300, true);
    const { boundBytes } = guard.ledger;
    // One chunk beyond the bound for the request that exceeded it.
    assert.ok(heldBytes <= boundBytes + 64 * kb + kb, `held: ${heldBytes} of ${boundBytes}`);
    assert.ok(refused > 0);
    assert.is(during.status, 503);
    assert.equal([after.status, after.bytes > 64 * kb], [200, true]);
});

test("without the bound, slow readers hold more than it", async () => {
    // Shows that the test before fails without the bound.
    const { heldBytes, during, guard } = await runSlowReaders(60, false);
    assert.ok(heldBytes > guard.ledger.boundBytes + 64 * kb + kb, `held: ${heldBytes}`);
    assert.is(during.status, 200);
});

test("a request is refused before its body is read, and an upload of unknown length while it is read", async () => {
    const guard = new MemoryGuard({ memoryMb: 4, log: createSilentLog(() => 0), readTime: () => 0 });
    const world = await startSlowReaderServer(guard);
    try {
        const large = await world.ask("1", { "Content-Length": String(5 * 1024 * kb) });
        assert.is(large.status, 503, "without a byte of its body");
        const part = Buffer.alloc(1024 * kb);
        const chunked = Buffer.concat([Buffer.from("100000\r\n"), part, Buffer.from("\r\n0\r\n\r\n")]);
        const unknown = await world.ask("1", { "Transfer-Encoding": "chunked" }, chunked);
        assert.is(unknown.status, 503);
        await waitUntil(() => guard.ledger.heldBytes === 0, "nothing is held any more");
        const small = await world.ask("1", { "Content-Length": "5" }, Buffer.from("12345"));
        assert.is(small.status, 200);
    }
    finally {
        world.stop();
    }
});

test.run();
