import { FleetView } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ClusterState } from "../src/knowledge/cluster.js";
import type { PeerMessage } from "../src/links/messages.js";
import type { ClusterChange } from "../src/ports.js";
import { createAccountGuard, createSilentLog, engineService } from "./fixtures.js";
import { plainRouting, serveWhileChanging } from "./opening.js";

const key = "base/a1";
const nothingRead = { operator: -1, upstreams: -1 };

function createVersion(version: number, ageMs?: number): ClusterChange {
    return { kind: "version", key, version, position: version, ageMs };
}

/** What one VM knows, at a time that the test sets. */
class KnowingVm {
    now = 100_000;
    readonly view = new FleetView();
    readonly cluster = new ClusterState({
        view: this.view,
        log: createSilentLog(() => this.now),
        readTime: () => 0,
        readBoot: () => this.now,
        onChange: () => {},
        onUpstreamGone: () => {},
        onMember: () => {},
    });

    mayUse(version: number): boolean {
        return this.view.versions.mayUse(key, version, this.now);
    }
}

test("a VM that cannot tell when a version was named lets no older one answer, however lately it has learned of it", () => {
    const vm = new KnowingVm();
    vm.cluster.applyChanges([createVersion(2)]);
    assert.equal([1, 2].map(version => vm.mayUse(version)), [false, true]);
});

test("a version that is learned late counts from when it may have been named", () => {
    const vm = new KnowingVm();
    vm.cluster.applyChanges([createVersion(2, 2000)]);
    assert.is(vm.mayUse(1), true);
    vm.now += 600;
    assert.is(vm.mayUse(1), false);
});

test("the age of a version goes on while it is passed from VM to VM", () => {
    const [first, second] = [new KnowingVm(), new KnowingVm()];
    const told = first.cluster.applyChanges([createVersion(2, 300)]);
    assert.equal(told, [createVersion(2, 300)]);
    first.now += 1700;
    const later = first.cluster.listChangesAfter(nothingRead);
    assert.equal(later, [createVersion(2, 2000)]);
    second.cluster.applyChanges(later);
    second.now += 600;
    assert.is(second.mayUse(1), false);
});

test("a VM that has missed a version counts from it and not from the one after it, whichever it hears of first", () => {
    const [teller, behind, ahead] = [new KnowingVm(), new KnowingVm(), new KnowingVm()];
    teller.cluster.applyChanges([createVersion(2, 0)]);
    teller.now += 4000;
    teller.cluster.applyChanges([createVersion(3, 0)]);
    const told = teller.cluster.listChangesAfter(nothingRead);
    behind.cluster.applyChanges(told);
    assert.equal([1, 2].map(version => behind.mayUse(version)), [false, true]);
    ahead.cluster.applyChanges([createVersion(3, 0)]);
    assert.is(ahead.mayUse(1), true);
    assert.equal(ahead.cluster.applyChanges(told), []);
    assert.equal([1, 2].map(version => ahead.mayUse(version)), [false, true]);
});

test("a VM that is told of a newer configuration gets the versions that were named before it as well", () => {
    const [teller, asker] = [new KnowingVm(), new KnowingVm()];
    const routing: ClusterChange = { kind: "routing", routing: plainRouting, position: 5 };
    teller.cluster.applyChanges([createVersion(2, 300), routing]);
    const sent: PeerMessage[] = [];
    const guard = createAccountGuard(teller.cluster, { send: (_vm, message) => sent.push(message) > 0 });
    guard.receiveMessage("asker", { type: "confirmQuery", query: 1, position: -1 });
    asker.cluster.applyChanges(sent.flatMap(message => message.type === "changes" ? message.changes : []));
    assert.is(asker.cluster.isComplete, false);
    assert.is(asker.cluster.findRouting()?.position, 5);
    assert.is(asker.view.versions.findNewest(key)?.version, 2);
});

/** Two engines that hold an adapter in its first and in its second version. */
const changingEngines = {
    routing: { ...plainRouting, services: [{ ...engineService, name: "desk" }] },
    model: { model: "base", adapter: "a1", promptTokens: 100, outputTokens: 10, parts: [] },
    models: [1, 2].map(version => [{ name: "base", version: 1, adapters: [{ name: "a1", version }] }]),
};

test("nothing is written for a version that is replaced for good while the connection to an engine is opened", async () => {
    const { status, reached, first } = await serveWhileChanging({
        ...changingEngines,
        createChange: () => createVersion(2),
    });
    assert.is(status, 200);
    assert.is(first, "s1");
    assert.equal(reached, ["s2"]);
});

test("nothing is written for a version whose time ended while the VM was suspended", async () => {
    const { status, reached, first } = await serveWhileChanging({
        ...changingEngines,
        createChange: () => createVersion(2, 0),
        suspendedMs: 10_000,
    });
    assert.is(status, 200);
    assert.is(first, "s1");
    assert.equal(reached, ["s2"]);
});

test("a stream that waits at an engine is taken back when its version is replaced for good meanwhile", async () => {
    const models = [1, 1].map(version => [{ name: "base", version: 1, adapters: [{ name: "a1", version }] }]);
    const { status, text, reached } = await serveWhileChanging({
        routing: {
            ...plainRouting,
            routes: [{ ...plainRouting.routes[0]!, kind: "stream" }],
            services: [{ ...engineService, name: "desk" }],
        },
        model: { model: "base", adapter: "a1", promptTokens: 100, outputTokens: 10, parts: [] },
        models,
        createLateChange: () => createVersion(2, 60_000),
    });
    assert.is(status, 502, text);
    assert.is(reached.length, 1);
});

test.run();
