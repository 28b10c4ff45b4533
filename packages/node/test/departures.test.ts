import { FleetView } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DepartureSharing } from "../src/knowledge/departures.js";
import type { PeerMessage } from "../src/links/messages.js";
import { createSilentLog, createUpstream } from "./fixtures.js";

function createSharing() {
    const view = new FleetView();
    view.updateUpstream(createUpstream("e1"), 0);
    const sent: PeerMessage[] = [];
    let changeCount = 0;
    const sharing = new DepartureSharing({
        view,
        log: createSilentLog(() => 0),
        readTime: () => 0,
        broadcast: message => sent.push(message),
        onChange: () => changeCount += 1,
    });
    return { view, sharing, sent, countChanges: () => changeCount };
}

test("a VM that learns from answers that an upstream leaves tells the others once", () => {
    const { view, sharing, sent, countChanges } = createSharing();
    sharing.recordAnswer("e1");
    sharing.recordAnswer("e1");
    assert.is(view.isUsable("e1"), false);
    assert.equal(sent, [{ type: "upstreamsLeaving", upstreams: ["e1"] }]);
    assert.is(countChanges(), 1);
    assert.equal(sharing.createGreeting(), sent);
});

test("a VM that was told tells nobody, even if answers say it later", () => {
    const { view, sharing, sent } = createSharing();
    sharing.receive("b", ["e1", "e2"]);
    sharing.recordAnswer("e1");
    assert.is(view.isUsable("e1"), false);
    assert.equal(sent, []);
    // The entry of one that was not known comes later, and is older than its word.
    view.updateUpstream(createUpstream("e2"), 0);
    assert.is(view.isUsable("e2"), false);
});

test("a VM that has read that an upstream leaves tells nobody what its answers say", () => {
    const { view, sharing, sent, countChanges } = createSharing();
    view.updateUpstream(createUpstream("e1", { isLeaving: true }), 0);
    sharing.recordAnswer("e1");
    assert.equal([sent.length, countChanges(), sharing.createGreeting().length], [0, 0, 0]);
    // That word stands all the same if an older entry is taken for the newest.
    view.updateUpstream(createUpstream("e1"), 0);
    assert.is(view.isUsable("e1"), false);
});

test("an upstream that said that it leaves is not used again when its entry lapses and comes back", () => {
    const { view, sharing } = createSharing();
    sharing.recordAnswer("e1");
    view.removeUpstream("e1");
    view.updateUpstream(createUpstream("e1"), 0);
    assert.equal([view.isUsable("e1"), view.listUsable("llm").length], [false, 0]);
    view.updateUpstream(createUpstream("e1@2", { name: "e1", bornAt: 2 }), 0);
    assert.is(view.isUsable("e1@2"), true);
});

test.run();
