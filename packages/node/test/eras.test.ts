import { createOrdinal, FleetView, type Upstream } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CrashReports } from "../src/crashes/reports.js";
import { ClusterState } from "../src/knowledge/cluster.js";
import { rewriteMs } from "../src/knowledge/eras.js";
import { ChangeSharing } from "../src/knowledge/sharing.js";
import type { PeerMessage } from "../src/links/messages.js";
import type { ClusterChange, ClusterStore } from "../src/ports.js";
import { createSilentLog, createUpstream } from "./fixtures.js";

const entryTimeoutMs = 3600;

/** A VM's knowledge of the store, with a clock. */
class TestVm {
    now = 60_000;
    readonly view = new FleetView();
    readonly gone: string[] = [];
    readonly restoredEras: number[] = [];
    readonly sent: { readonly vm: string; readonly message: PeerMessage; }[] = [];
    readonly cluster: ClusterState;
    readonly sharing: ChangeSharing;
    isReading = true;

    constructor() {
        const readTime = () => this.now;
        const log = createSilentLog(readTime);
        const readIsReading = () => this.isReading;
        this.cluster = new ClusterState({
            view: this.view,
            log,
            readTime,
            onChange: () => {},
            onUpstreamGone: id => this.gone.push(id),
            onMember: () => {},
            onRestored: era => {
                this.restoredEras.push(era);
                this.sharing.askPeers();
            },
            entryTimeoutMs,
        });
        this.sharing = new ChangeSharing({
            vm: "a",
            dataCentre: "x",
            cluster: this.cluster,
            store: {
                get isReading() {
                    return readIsReading();
                },
                setReading: () => {},
            } as unknown as ClusterStore,
            log,
            readTime,
            send: (vm, message) => this.sent.push({ vm, message }),
            broadcast: () => {},
            sendToDataCentre: () => {},
            listLinked: () => ["b"],
            readStoreSilenceMs: () => 0,
            listCrashReports: () => [],
        });
        this.cluster.setReachable(true);
        this.now += 10_000;
    }

    isUsable(name: string): boolean {
        return this.view.listUsable("desk").some(({ upstream }) => upstream.name === name);
    }

    advance(ms: number): void {
        this.now += ms;
        this.cluster.expireLapsed();
    }
}

function createEntry(name: string, era: number, offset: number, changes: Partial<Upstream> = {}): ClusterChange {
    const upstream = createUpstream(`${name}@1`, { name, bornAt: 1, service: "desk", models: [], ...changes });
    return { kind: "upstream", upstream, position: createOrdinal(era, offset) };
}

function createRemoval(name: string, era: number, offset: number): ClusterChange {
    return { kind: "upstreamGone", name, position: createOrdinal(era, offset) };
}

function createRouting(version: number, era: number, offset: number): ClusterChange {
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const position = createOrdinal(era, offset);
    return { kind: "routing", routing: { version, routes: [], services: [], limits }, position };
}

test("an older configuration of a later era is not in force, and is answered with the newer one", () => {
    const vm = new TestVm();
    vm.cluster.applyChanges([createRouting(6, 1, 5)]);
    const [change] = vm.cluster.applyChanges([createRouting(4, 2, 3)]);
    assert.equal(change, createRouting(6, 2, 3));
    assert.is(vm.cluster.routes?.routing.version, 6);
    assert.equal(vm.cluster.listOperatorChangesAfter(createOrdinal(1, 5)), [createRouting(6, 2, 3)]);
    assert.is(vm.cluster.readPositions.operator, createOrdinal(2, 3));
});

test("a configuration at a lower offset of a later era is in force, and a late record of an earlier era is not", () => {
    const vm = new TestVm();
    vm.cluster.applyChanges([createRouting(6, 1, 5)]);
    vm.cluster.applyChanges([createRouting(7, 2, 3)]);
    assert.is(vm.cluster.routes?.routing.version, 7);
    vm.cluster.applyChanges([createRouting(5, 1, 9)]);
    assert.is(vm.cluster.routes?.routing.version, 7);
    assert.is(vm.cluster.readPositions.operator, createOrdinal(2, 3));
});

test("a version that a VM knows and an older one of a later era are sent on as the newer one", () => {
    const vm = new TestVm();
    const createVersion = (version: number, era: number, offset: number): ClusterChange => {
        return { kind: "version", key: "base/a1", version, position: createOrdinal(era, offset) };
    };
    vm.cluster.applyChanges([createVersion(4, 1, 8)]);
    const [change] = vm.cluster.applyChanges([createVersion(3, 2, 6)]);
    assert.equal(change?.kind === "version" ? [change.version, change.position] : [], [4, createOrdinal(2, 6)]);
    assert.is(vm.view.versions.findNewest("base/a1")?.version, 4);
});

test("each era is reported once, by the store or by another VM, and the first known era is not", () => {
    const vm = new TestVm();
    vm.cluster.applyChanges([createRouting(1, 3, 0)]);
    assert.equal(vm.restoredEras, []);
    vm.cluster.updateEra(4);
    vm.cluster.applyChanges([createRouting(1, 4, 0)], "b");
    vm.cluster.applyChanges([createRouting(1, 3, 9)], "b");
    vm.cluster.applyChanges([createRouting(1, 6, 0)], "b");
    assert.equal(vm.restoredEras, [4, 6]);
});

test("an upstream that a restored store lacks stays usable until running ones have registered again", () => {
    const vm = new TestVm();
    vm.cluster.applyChanges([createEntry("u1", 1, 1), createEntry("u2", 1, 2), createEntry("u3", 1, 3)]);
    vm.cluster.updateEra(2);
    vm.cluster.applyChanges([createEntry("u1", 2, 1)]);
    const removals = vm.cluster.applyUpstreamList(new Set(["u1"]), createOrdinal(2, 2));
    assert.equal(removals, [createRemoval("u2", 2, 1), createRemoval("u3", 2, 1)]);
    assert.ok(vm.isUsable("u2") && vm.isUsable("u3"));
    vm.advance(rewriteMs - 100);
    vm.cluster.applyChanges([createEntry("u2", 2, 2)]);
    vm.advance(200);
    assert.equal(["u1", "u2", "u3"].map(name => vm.isUsable(name)), [true, true, false]);
});

test("an entry written at the end of a list that lacks its name is valid", () => {
    const vm = new TestVm();
    vm.cluster.applyChanges([createEntry("u1", 1, 1)]);
    vm.cluster.applyUpstreamList(new Set(), createOrdinal(1, 4));
    assert.is(vm.isUsable("u1"), false);
    vm.cluster.applyChanges([createEntry("u1", 1, 4)]);
    assert.is(vm.isUsable("u1"), true);
});

test("a removed entry that a restored store shows again is used only after the time-out for silent upstreams", () => {
    const vm = new TestVm();
    vm.cluster.applyChanges([createEntry("u1", 1, 4), createRemoval("u1", 1, 9)]);
    vm.cluster.updateEra(2);
    const changes = vm.cluster.applyChanges([createEntry("u1", 2, 4)]);
    assert.equal(changes, [createEntry("u1", 2, 4), createRemoval("u1", 2, 4)]);
    vm.advance(rewriteMs + entryTimeoutMs - 100);
    assert.is(vm.isUsable("u1"), false);
    vm.advance(200);
    assert.is(vm.isUsable("u1"), true);
    vm.cluster.applyChanges([createRemoval("u1", 2, 4)], "b");
    assert.is(vm.isUsable("u1"), true);
});

test("a removed entry that a restored store shows again is not used once the store removes it again", () => {
    for (const remove of ["record", "list"] as const) {
        const vm = new TestVm();
        vm.cluster.applyChanges([createEntry("u1", 1, 4), createRemoval("u1", 1, 9)]);
        vm.cluster.updateEra(2);
        vm.cluster.applyChanges([createEntry("u1", 2, 4)]);
        if (remove === "record") {
            vm.cluster.applyChanges([createRemoval("u1", 2, 7)]);
        }
        else {
            vm.cluster.applyUpstreamList(new Set(), createOrdinal(3, 8));
        }
        vm.advance(rewriteMs + entryTimeoutMs + 10_000);
        assert.is(vm.isUsable("u1"), false);
    }
});

test("a removed entry that is written again after the restore is used at once", () => {
    const vm = new TestVm();
    vm.cluster.applyChanges([createEntry("u1", 1, 4), createRemoval("u1", 1, 9)]);
    vm.cluster.updateEra(2);
    vm.cluster.applyChanges([createEntry("u1", 2, 6)]);
    assert.is(vm.isUsable("u1"), true);
});

test("a VM that started on a restored store learns from others that an entry had been removed", () => {
    const vm = new TestVm();
    vm.cluster.applyChanges([createEntry("u1", 2, 4)]);
    assert.is(vm.isUsable("u1"), true);
    vm.cluster.applyChanges([createRemoval("u1", 2, 4)], "b");
    assert.is(vm.isUsable("u1"), false);
});

test("a removal learned from another VM makes the entry at its position doubtful, whichever comes first", () => {
    const vm = new TestVm();
    vm.cluster.applyChanges([createRemoval("u1", 2, 4)], "b");
    vm.cluster.applyChanges([createEntry("u1", 2, 4)]);
    assert.is(vm.isUsable("u1"), false);
    vm.advance(rewriteMs + entryTimeoutMs + 100);
    assert.is(vm.isUsable("u1"), true);
});

test("an upstream that lapsed around an outage is used on when a restored store shows its entry", () => {
    const vm = new TestVm();
    vm.cluster.applyChanges([createEntry("u1", 1, 4)]);
    vm.cluster.setReachable(false);
    vm.cluster.applyChanges([createRemoval("u1", 1, 9)]);
    vm.cluster.setReachable(true);
    vm.cluster.updateEra(2);
    vm.cluster.applyChanges([createEntry("u1", 2, 4)]);
    vm.advance(rewriteMs + 100);
    assert.is(vm.isUsable("u1"), true);
});

test("a reader asks another VM for changes when the store is restored, and new links get all changes", () => {
    const vm = new TestVm();
    vm.cluster.applyChanges([createRouting(6, 1, 5), createEntry("u1", 1, 4)]);
    const positions = vm.cluster.readPositions;
    const findChanges = () => vm.sharing.createInitialMessages("b").find(({ type }) => type === "changes");
    assert.is(findChanges(), undefined);
    vm.cluster.updateEra(2);
    assert.equal(vm.sent, [{ vm: "b", message: { type: "pull", positions } }]);
    assert.equal(findChanges(), { type: "changes", changes: [createRouting(6, 1, 5), createEntry("u1", 1, 4)] });
    vm.advance(rewriteMs + 1);
    assert.is(findChanges(), undefined);
});

test("crash reports that a restored store lacks are written again, also those of other VMs", async () => {
    const appended: string[] = [];
    const reports = new CrashReports({
        vm: "a",
        incarnation: 1,
        store: {
            appendCrashReport: name => {
                appended.push(name);
                return Promise.resolve(true);
            },
        },
        log: createSilentLog(() => 0),
        broadcast: () => {},
        onChange: () => {},
        readWall: () => 1000,
    });
    for (const name of ["a/1/1", "b/1/1", "b/1/2"]) {
        reports.applyReport({ name, crashes: [{ upstream: "u1", at: 900, requests: ["q"] }], clearances: [] });
    }
    assert.equal(reports.appendMissing(new Set(["b/1/1"])), ["a/1/1", "b/1/2"]);
    assert.equal(appended, ["a/1/1", "b/1/2"]);
});

test.run();
