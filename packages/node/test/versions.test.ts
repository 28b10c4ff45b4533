import { FleetView } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ClusterState } from "../src/knowledge/cluster.js";
import type { PeerMessage } from "../src/links/messages.js";
import type { ClusterChange } from "../src/ports.js";
import { plainRouting, serveWhileChanging } from "./changingserver.js";
import { createAccountGuard, createSilentLog, engineService } from "./fixtures.js";

const key = "base/a1";
const unreadPositions = { operator: -1, upstreams: -1 };

function createVersion(version: number, ageMs?: number): ClusterChange {
    return { kind: "version", key, version, position: version, ageMs };
}

/** The versions that one VM knows of, with a clock that the test sets. */
class LearningVm {
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

test("a VM that cannot tell when a version was announced stops using older versions as soon as it learns of it", () => {
    const vm = new LearningVm();
    vm.cluster.applyChanges([createVersion(2)]);
    assert.equal([1, 2].map(version => vm.mayUse(version)), [false, true]);
});

test("the time limit of an older version counts from the earliest time of the newer one's announcement", () => {
    const vm = new LearningVm();
    vm.cluster.applyChanges([createVersion(2, 2000)]);
    assert.is(vm.mayUse(1), true);
    vm.now += 600;
    assert.is(vm.mayUse(1), false);
});

test("the age of a version keeps growing while the version is passed from VM to VM", () => {
    const [first, second] = [new LearningVm(), new LearningVm()];
    const changes = first.cluster.applyChanges([createVersion(2, 300)]);
    assert.equal(changes, [createVersion(2, 300)]);
    first.now += 1700;
    const later = first.cluster.listChangesAfter(unreadPositions);
    assert.equal(later, [createVersion(2, 2000)]);
    second.cluster.applyChanges(later);
    second.now += 600;
    assert.is(second.mayUse(1), false);
});

test("a VM that missed a version counts from that version and not from the next, whichever it learns of first", () => {
    const [informed, behind, ahead] = [new LearningVm(), new LearningVm(), new LearningVm()];
    informed.cluster.applyChanges([createVersion(2, 0)]);
    informed.now += 4000;
    informed.cluster.applyChanges([createVersion(3, 0)]);
    const changes = informed.cluster.listChangesAfter(unreadPositions);
    behind.cluster.applyChanges(changes);
    assert.equal([1, 2].map(version => behind.mayUse(version)), [false, true]);
    ahead.cluster.applyChanges([createVersion(3, 0)]);
    assert.is(ahead.mayUse(1), true);
    assert.equal(ahead.cluster.applyChanges(changes), []);
    assert.equal([1, 2].map(version => ahead.mayUse(version)), [false, true]);
});

test("a VM that is sent a newer configuration also receives the versions that were announced before it", () => {
    const [informed, requester] = [new LearningVm(), new LearningVm()];
    const routing: ClusterChange = { kind: "routing", routing: plainRouting, position: 5 };
    informed.cluster.applyChanges([createVersion(2, 300), routing]);
    const sent: PeerMessage[] = [];
    const guard = createAccountGuard(informed.cluster, { send: (_vm, message) => sent.push(message) > 0 });
    guard.receiveMessage("requester", { type: "confirmQuery", query: 1, position: -1 });
    requester.cluster.applyChanges(sent.flatMap(message => message.type === "changes" ? message.changes : []));
    assert.is(requester.cluster.isComplete, false);
    assert.is(requester.cluster.findRouting()?.position, 5);
    assert.is(requester.view.versions.findNewest(key)?.version, 2);
});

/** Two engines, one of which holds the first version of an adapter and one the second. */
const changingEngines = {
    routing: { ...plainRouting, services: [{ ...engineService, name: "desk" }] },
    model: { model: "base", adapter: "a1", promptTokens: 100, outputTokens: 10, parts: [] },
    models: [1, 2].map(version => [{ name: "base", version: 1, adapters: [{ name: "a1", version }] }]),
};

test("nothing is written for a version that expires while the connection to an engine is opened", async () => {
    const { status, reached, first } = await serveWhileChanging({
        ...changingEngines,
        createChange: () => createVersion(2),
    });
    assert.is(status, 200);
    assert.is(first, "s1");
    assert.equal(reached, ["s2"]);
});

test("nothing is written for a version that expired while the VM was suspended", async () => {
    const { status, reached, first } = await serveWhileChanging({
        ...changingEngines,
        createChange: () => createVersion(2, 0),
        suspendedMs: 10_000,
    });
    assert.is(status, 200);
    assert.is(first, "s1");
    assert.equal(reached, ["s2"]);
});

test("a stream that waits at an engine is withdrawn when its version expires", async () => {
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
