import { FleetView, type Upstream } from "@radishreel/fleet";
import type { Route } from "@radishreel/routing";
import fc from "fast-check";
import { err } from "neverthrow";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { BootClock } from "../src/clock.js";
import { DecisionLog } from "../src/decisions.js";
import { ClusterState } from "../src/knowledge/cluster.js";
import { Peers } from "../src/links/peers.js";
import type { Handover } from "../src/ownership/leasemessages.js";
import { ShardOwnership } from "../src/ownership/ownership.js";
import type { ClusterChange, ShardAssigner } from "../src/ports.js";
import { EventSplitter } from "../src/requests/events.js";
import { readLastSendAt } from "../src/requests/timelimit.js";

test("an event splitter returns whole events in order, at whatever boundaries the bytes arrive", () => {
    const text = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: comment\n\nid: 3\r\ndata: d\r\n\r\n";
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 1, maxLength: 80 }), sizes => {
            const splitter = new EventSplitter();
            const bytes = Buffer.from(text);
            const events = [];
            let at = 0;
            for (let index = 0; at < bytes.length; index++) {
                const size = sizes[index % sizes.length]!;
                events.push(...splitter.receive(bytes.subarray(at, at + size)));
                at += size;
            }
            assert.is(Buffer.concat(events.map(event => event.bytes)).toString(), text);
            assert.equal(events.map(event => event.id), ["1", "2", undefined, "3"]);
            assert.is(splitter.isAtBoundary, true);
        }),
        { seed: 5, numRuns: 200 },
    );
});

test("an event splitter finds the same events as a search of the whole text, with empty lines and line ends of any kind", () => {
    fc.assert(
        fc.property(
            fc.array(fc.constantFrom("\n", "\r", "\r\n", "id: 1", "data: a", "x"), { maxLength: 40 }),
            fc.integer({ min: 1, max: 9 }),
            (words, size) => {
                const bytes = Buffer.from(words.join(""));
                const splitter = new EventSplitter();
                const events: string[] = [];
                for (let at = 0; at < bytes.length; at += size) {
                    events.push(
                        ...splitter.receive(bytes.subarray(at, at + size)).map(event => event.bytes.toString()),
                    );
                }
                // An event is a line, further lines that are not empty, and an empty line.
                assert.equal(events, bytes.toString().match(/[^\n]*\n(?:(?!\r?\n)[^\n]*\n)*\r?\n/g) ?? []);
            },
        ),
        { seed: 6, numRuns: 2000 },
    );
});

test("an event splitter does not copy an unfinished event for each of its pieces", () => {
    const splitter = new EventSplitter();
    const piece = Buffer.from("x".repeat(55));
    const concat = Buffer.concat.bind(Buffer);
    let copiedBytes = 0;
    Buffer.concat = (list: readonly Uint8Array[], length?: number) => {
        const whole = concat(list, length);
        copiedBytes += whole.length;
        return whole;
    };
    let sentBytes = 0;
    try {
        for (; !splitter.isTooLong; sentBytes += piece.length) {
            splitter.receive(piece);
        }
    }
    finally {
        Buffer.concat = concat;
    }
    assert.ok(copiedBytes <= 2 * sentBytes, `${copiedBytes} bytes copied for ${sentBytes}`);
});

test("an event splitter holds an unfinished event back", () => {
    const splitter = new EventSplitter();
    assert.is(splitter.receive(Buffer.from("id: 1\ndata: a\n\nid: 2\nda")).length, 1);
    assert.is(splitter.isAtBoundary, false);
});

test("boot time counts a suspension, but not a small correction of the wall clock or a step back", () => {
    let steady = 0;
    let wall = 1_000_000;
    const clock = new BootClock({ readSteady: () => steady, readWall: () => wall });
    steady += 100;
    wall += 100;
    assert.is(clock.read(), 100);
    wall += 3000;
    assert.is(clock.read(), 3100);
    assert.is(clock.suspendedMs, 3000);
    wall -= 5000;
    assert.is(clock.read(), 3100);
    wall += 50;
    assert.is(clock.read(), 3100);
    steady += 10;
    wall += 10;
    assert.is(clock.read(), 3110);
});

function createLog(writableLength: () => number) {
    const lines: { event: string; counts?: Record<string, number>; }[] = [];
    let now = 0;
    const log = new DecisionLog({
        program: "p",
        vm: "v",
        sink: {
            get writableLength() {
                return writableLength();
            },
            write: text => {
                lines.push(JSON.parse(text) as { event: string; });
                return true;
            },
        },
        readTime: () => now,
    });
    return {
        log,
        lines,
        advance: (ms: number) => {
            now += ms;
        },
    };
}

test("a log under load drops lines beyond its budget, keeps important lines and reports the dropped lines", () => {
    const { log, lines, advance } = createLog(() => 0);
    for (let index = 0; index < 1000; index++) {
        log.record("attempt", { index });
    }
    log.recordImportant("refused", {});
    assert.is(lines.length, 241);
    assert.is(lines.at(-1)?.event, "refused");
    advance(6000);
    log.record("attempt", {});
    const droppedLine = lines.find(line => line.event === "linesDropped");
    assert.equal(droppedLine?.counts, { attempt: 760 });
});

test("a log whose reader is stalled drops lines and never waits", () => {
    let bufferedBytes = 1_000_000;
    const { log, lines } = createLog(() => bufferedBytes);
    log.recordImportant("refused", {});
    assert.is(lines.length, 0);
    bufferedBytes = 0;
    log.recordImportant("refused", {});
    assert.is(lines.length, 1);
});

function createCluster() {
    const view = new FleetView();
    let now = 0;
    const gone: string[] = [];
    const cluster = new ClusterState({
        view,
        log: createLog(() => 0).log,
        readTime: () => now,
        onChange: () => {},
        onUpstreamGone: id => gone.push(id),
        onMember: () => {},
    });
    return {
        cluster,
        view,
        gone,
        advance: (ms: number) => {
            now += ms;
        },
    };
}

function createRouting(version: number, position: number): ClusterChange {
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    return { kind: "routing", routing: { version, routes: [], services: [], limits }, position };
}

const engine: Upstream = {
    id: "e1",
    name: "e1",
    bornAt: 0,
    service: "s",
    address: "127.0.0.1:1",
    dataCentre: "d",
    softwareVersion: "v1",
    isLeaving: false,
    slots: 1,
    models: [],
    sequence: 0,
};

test("the configuration never reverts to an earlier version, whatever the order of changes", () => {
    const changes = [1, 2, 3, 4, 5].map(version => createRouting(version * 3, version));
    fc.assert(
        fc.property(fc.array(fc.constantFrom(...changes), { minLength: 1, maxLength: 30 }), order => {
            const { cluster } = createCluster();
            let highest = 0;
            for (const change of order) {
                cluster.applyChanges([change]);
                const version = cluster.routes!.routing.version;
                assert.ok(version >= highest);
                highest = version;
            }
        }),
        { seed: 9, numRuns: 200 },
    );
});

test("an upstream whose entry is removed is gone at once while the store is reachable", () => {
    const { cluster, gone, advance } = createCluster();
    cluster.setReachable(true);
    advance(10_000);
    cluster.applyChanges([{ kind: "upstream", upstream: engine, position: 1 }]);
    cluster.applyChanges([{ kind: "upstreamGone", name: "e1", position: 2 }]);
    assert.equal(gone, ["e1"]);
});

test("an upstream whose entry lapsed around an outage is kept for 2 s, and gone if it does not come back", () => {
    const { cluster, gone, advance, view } = createCluster();
    cluster.setReachable(true);
    advance(10_000);
    cluster.applyChanges([{ kind: "upstream", upstream: engine, position: 1 }]);
    cluster.setReachable(false);
    advance(5000);
    cluster.setReachable(true);
    cluster.applyChanges([{ kind: "upstreamGone", name: "e1", position: 2 }]);
    cluster.expireLapsed();
    assert.equal(gone, []);
    assert.is(view.listUsable("s").length, 1);
    advance(2200);
    cluster.expireLapsed();
    assert.equal(gone, ["e1"]);
});

test("an upstream whose entry is removed 2 s after an outage of the store is not kept for 2 s more", () => {
    const { cluster, gone, advance } = createCluster();
    cluster.applyChanges([{ kind: "upstream", upstream: engine, position: 1 }]);
    advance(13_070);
    cluster.setReachable(true);
    advance(2048);
    cluster.applyChanges([{ kind: "upstreamGone", name: "e1", position: 2 }]);
    advance(60);
    cluster.expireLapsed();
    assert.equal(gone, ["e1"]);
});

test("an upstream whose entry comes back in time stays, and a leaving one is gone at once even in an outage", () => {
    const { cluster, gone, advance } = createCluster();
    cluster.setReachable(true);
    cluster.applyChanges([{ kind: "upstream", upstream: engine, position: 1 }]);
    cluster.applyChanges([{ kind: "upstreamGone", name: "e1", position: 2 }]);
    cluster.applyChanges([{ kind: "upstream", upstream: engine, position: 3 }]);
    advance(5000);
    cluster.expireLapsed();
    assert.equal(gone, []);
    cluster.setReachable(false);
    cluster.applyChanges([{ kind: "upstream", upstream: { ...engine, isLeaving: true }, position: 4 }]);
    cluster.applyChanges([{ kind: "upstreamGone", name: "e1", position: 5 }]);
    assert.equal(gone, ["e1"]);
});

test("the cluster state is complete once routes and upstreams are known, from the store or from a peer", () => {
    const { cluster } = createCluster();
    cluster.applyChanges([createRouting(3, 7)]);
    assert.is(cluster.isComplete, false);
    cluster.applyChanges([{ kind: "upstream", upstream: engine, position: 40 }]);
    assert.is(cluster.isComplete, true);
    const other = createCluster().cluster;
    other.applyUpstreamList(new Set(), 3);
    other.applyChanges([createRouting(3, 7)]);
    assert.is(other.isComplete, true);
});

test("a peer gets only the changes that it lacks", () => {
    const { cluster } = createCluster();
    cluster.applyChanges([createRouting(3, 7), { kind: "upstream", upstream: engine, position: 40 }]);
    assert.equal(cluster.readPositions, { operator: 7, upstreams: 40 });
    assert.equal(cluster.listChangesAfter({ operator: 7, upstreams: 39 }).map(change => change.kind), ["upstream"]);
    assert.equal(cluster.listChangesAfter({ operator: 6, upstreams: 40 }).map(change => change.kind), ["routing"]);
});

/** Creates the shard ownership of a VM on a platform that assigns no shards. */
function createOwnership(handedOver: Handover[], shardAssigner: Partial<ShardAssigner> = {}): ShardOwnership {
    const view = new FleetView();
    return new ShardOwnership({
        vm: "a",
        view,
        shardAssigner: {
            shardCount: 4,
            renew: () => Promise.resolve(undefined),
            release: () => Promise.resolve(true),
            ...shardAssigner,
        },
        orders: { send: () => Promise.resolve("unknown"), readReport: () => Promise.resolve(err("unknown")) },
        log: createLog(() => 0).log,
        readTime: () => 0,
        holderGapMs: 100,
        incarnation: 1,
        readIncarnation: () => undefined,
        findService: () => undefined,
        sendStatuses: () => {},
        sendReply: () => {},
        sendRelease: () => {},
        sendQuery: () => {},
        sendHandover: handover => handedOver.push(handover) > 0,
        countOthers: () => 2,
        recordGeneration: () => {},
    });
}

test("a VM that is stopping hands shards that it receives over to another VM", async () => {
    const handedOver: Handover[] = [];
    const ownership = createOwnership(handedOver);
    await ownership.stop();
    const handover = { shards: [1, 2], deal: 11, depth: 1, givers: [{ vm: "b", incarnation: 5 }] };
    ownership.receiveHandover(handover);
    assert.equal(handedOver, [handover]);
});

// Guards against a renewal that reaches the store after the leave of a planned stop: the store would count the stopped
// VM as a member for another 2.8 s and assign it shards.
test("a VM in a planned stop leaves the group only after a pending renewal has ended", async () => {
    const calls: string[] = [];
    let respond: (assignment: undefined) => void = () => {};
    const ownership = createOwnership([], {
        renew: () => {
            calls.push("renewal");
            return new Promise(resolve => {
                respond = resolve;
            });
        },
        release: () => {
            calls.push("leave");
            return Promise.resolve(true);
        },
    });
    ownership.start(undefined);
    while (calls.length === 0) {
        await new Promise<void>(resolve => setImmediate(resolve));
    }
    const stopped = ownership.stop();
    await new Promise<void>(resolve => setImmediate(resolve));
    assert.equal(calls, ["renewal"]);
    calls.push("response");
    respond(undefined);
    await stopped;
    assert.equal(calls, ["renewal", "response", "leave"]);
});

function createPeers(id: string, onOpen: () => void): Peers {
    return new Peers({
        self: { id, role: "node", dataCentre: "z", incarnation: 1, address: "" },
        secret: "test",
        host: "127.0.0.1",
        port: 0,
        log: createLog(() => 0).log,
        readTime: () => 0,
        onFrame: () => {},
        onBytes: () => {},
        createInitialMessages: () => {
            onOpen();
            return [];
        },
        onMessage: () => {},
        onStart: () => {},
        onClose: () => {},
    });
}

test("a VM that has announced its stop is no handover target and stays connected", async () => {
    const other = createPeers("b", () => {});
    const port = await other.start();
    const opened = new Promise<Peers>(resolve => {
        const peers = createPeers("a", () => resolve(peers));
        peers.addPeer({ id: "b", address: `127.0.0.1:${port}` });
    });
    const peers = await opened;
    assert.equal(peers.listHandoverTargets(), ["b"]);
    peers.recordLeaving("b");
    assert.equal(peers.listHandoverTargets(), []);
    assert.equal(peers.listConnected(), ["b"]);
    peers.stop();
    other.stop();
});

test("a request without an upstream is rejected while its caller still waits, whatever its deadline", () => {
    const route: Route = {
        name: "r",
        host: "h",
        pathPrefix: "/",
        kind: "stream",
        targets: [{ service: "llm", weight: 1 }],
        timeoutMs: 15_000,
        aimMs: 1000,
        gapAimMs: 400,
        priority: 0,
        maxAttempts: 2,
        isResumable: true,
    };
    const model = { model: "m", adapter: "a", promptTokens: 3840, outputTokens: 10, parts: [] };
    const demand = { requestId: "q", budgetMs: undefined, model, lastEventId: undefined };
    const progress = { lastEventId: undefined, events: 0, firstEventAt: undefined, lastEventAt: 0, longestPauseMs: 0 };
    const request = { route, demand, startedAt: 1000, deadlineAt: 16_000, progress };
    assert.is(readLastSendAt(request), 1000 + 4000 - 100 - 150);
    assert.is(readLastSendAt({ ...request, deadlineAt: 3000 }), 2940);
    assert.is(readLastSendAt({ ...request, route: { ...route, kind: "unsafe" } }), 15_940);
    const streamProgress = { ...progress, events: 3, lastEventAt: 9000 };
    assert.is(readLastSendAt({ ...request, progress: streamProgress }), 9000 + 4000 - 100 - 150);
});

test.run();
