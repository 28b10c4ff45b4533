import { test } from "uvu";
import * as assert from "uvu/assert";
import { findOwner, type ListedVm, rankNodes, UpstreamDirectory } from "../src/index.js";

const nodes = Array.from({ length: 20 }, (_, index) => `agent-${index}`);
const keys = Array.from({ length: 2000 }, (_, index) => `engine-${index}`);

test("every node finds the same owner, whatever the order of its node list", () => {
    for (const key of keys.slice(0, 100)) {
        assert.is(findOwner(key, nodes), findOwner(key, [...nodes].reverse()));
        assert.is(findOwner(key, nodes), rankNodes(key, nodes)[0]);
    }
});

test("a removed node moves its own keys and no others", () => {
    const without = nodes.slice(1);
    for (const key of keys) {
        const before = findOwner(key, nodes);
        if (before !== nodes[0]) {
            assert.is(findOwner(key, without), before);
        }
    }
});

test("keys are spread evenly", () => {
    const counts = new Map<string, number>();
    keys.forEach(key => counts.set(findOwner(key, nodes)!, (counts.get(findOwner(key, nodes)!) ?? 0) + 1));
    assert.ok([...counts.values()].every(count => count > 50 && count < 150), JSON.stringify([...counts]));
});

function createVm(state: ListedVm["state"], address = "127.0.0.1:1"): ListedVm {
    return { id: "engine", kind: "engine", dataCentre: "depot", address, state };
}

function createDirectory(): UpstreamDirectory {
    const directory = new UpstreamDirectory("depot");
    directory.receiveList([createVm("live"), { ...createVm("live"), id: "far", dataCentre: "yard" }]);
    directory.receiveLive("engine", "1");
    return directory;
}

test("the directory lists only upstreams of its own data centre", () => {
    assert.equal(createDirectory().list().map(upstream => upstream.id), ["engine"]);
});

/** Events after a message that the upstream is leaving, and whether the upstream still counts as leaving. */
const followingEvents: readonly {
    name: string;
    applyEvent: (directory: UpstreamDirectory) => void;
    isLeaving: boolean;
}[] = [
    {
        name: "the list still has the state live",
        applyEvent: directory => void directory.receiveList([createVm("live")]),
        isLeaving: true,
    },
    {
        name: "the same process reports live",
        applyEvent: directory => void directory.receiveLive("engine", "1"),
        isLeaving: true,
    },
    {
        name: "a new process reports live",
        applyEvent: directory => void directory.receiveLive("engine", "2"),
        isLeaving: false,
    },
    {
        name: "the list has another address for its id",
        applyEvent: directory => void directory.receiveList([createVm("live", "127.0.0.1:2")]),
        isLeaving: false,
    },
    {
        name: "the list has the state leaving too",
        applyEvent: directory => void directory.receiveList([createVm("leaving")]),
        isLeaving: true,
    },
];

for (const { name, applyEvent, isLeaving } of followingEvents) {
    test(`a leaving upstream ${isLeaving ? "stays leaving" : "becomes live"} when ${name}`, () => {
        const directory = createDirectory();
        assert.ok(directory.receiveLeaving("engine", undefined));
        assert.not(directory.receiveLeaving("engine", "1"), "a repeated leaving message changed the directory");
        applyEvent(directory);
        assert.is(directory.find("engine")?.isLeaving, isLeaving);
    });
}

test("an upstream that is removed from the list is removed from the directory", () => {
    const directory = createDirectory();
    assert.ok(directory.receiveList([]));
    assert.equal(directory.list(), []);
});

test.run();
