import { test } from "uvu";
import * as assert from "uvu/assert";
import { findOwner, type ListedVm, rankNodes, UpstreamDirectory } from "../src/index.js";

const nodes = Array.from({ length: 20 }, (_, index) => `agent-${index}`);
const keys = Array.from({ length: 2000 }, (_, index) => `engine-${index}`);

test("every node finds the same owner, whatever the order in which it knows the others", () => {
    for (const key of keys.slice(0, 100)) {
        assert.is(findOwner(key, nodes), findOwner(key, [...nodes].reverse()));
        assert.is(findOwner(key, nodes), rankNodes(key, nodes)[0]);
    }
});

test("a node that goes moves its own keys and no others", () => {
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

test("only upstreams of the own data centre are known", () => {
    assert.equal(createDirectory().list().map(upstream => upstream.id), ["engine"]);
});

/** What comes after somebody said that the upstream leaves, and whether it still counts as leaving. */
const words: readonly { name: string; say: (directory: UpstreamDirectory) => void; isLeaving: boolean; }[] = [
    {
        name: "the list lags and says live",
        say: directory => void directory.receiveList([createVm("live")]),
        isLeaving: true,
    },
    {
        name: "the same process says live",
        say: directory => void directory.receiveLive("engine", "1"),
        isLeaving: true,
    },
    { name: "a new process says live", say: directory => void directory.receiveLive("engine", "2"), isLeaving: false },
    {
        name: "another VM has its name",
        say: directory => void directory.receiveList([createVm("live", "127.0.0.1:2")]),
        isLeaving: false,
    },
    {
        name: "the list says leaving too",
        say: directory => void directory.receiveList([createVm("leaving")]),
        isLeaving: true,
    },
];

for (const { name, say, isLeaving } of words) {
    test(`a leaving upstream ${isLeaving ? "still leaves" : "is back"} when ${name}`, () => {
        const directory = createDirectory();
        assert.ok(directory.receiveLeaving("engine", undefined));
        assert.not(directory.receiveLeaving("engine", "1"), "the second word is no news");
        say(directory);
        assert.is(directory.find("engine")?.isLeaving, isLeaving);
    });
}

test("an upstream that is not listed any more is forgotten", () => {
    const directory = createDirectory();
    assert.ok(directory.receiveList([]));
    assert.equal(directory.list(), []);
});

test.run();
