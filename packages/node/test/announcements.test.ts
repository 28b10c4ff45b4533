import { FleetView } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AnnouncementSharing } from "../src/knowledge/announcements.js";
import type { PeerMessage } from "../src/links/messages.js";
import { createSilentLog, createUpstream } from "./fixtures.js";

function createSharing() {
    const view = new FleetView();
    view.updateUpstream(createUpstream("e1"), 0);
    const sent: PeerMessage[] = [];
    let changeCount = 0;
    const sharing = new AnnouncementSharing({
        view,
        log: createSilentLog(() => 0),
        readTime: () => 0,
        broadcast: message => sent.push(message),
        isForwarding: () => true,
        onChange: () => changeCount += 1,
        onBackoff: () => {},
        onUnreadableLimit: () => {},
    });
    return { view, sharing, sent, countChanges: () => changeCount };
}

test("a VM that learns from responses that an upstream is leaving announces it to other VMs once", () => {
    const { view, sharing, sent, countChanges } = createSharing();
    sharing.recordResponse("e1", { isLeaving: true });
    sharing.recordResponse("e1", { isLeaving: true });
    assert.is(view.isUsable("e1"), false);
    assert.equal(sent, [{ type: "upstreamsLeaving", upstreams: ["e1"] }]);
    assert.is(countChanges(), 1);
    assert.equal(sharing.createInitialMessages(), sent);
});

test("a VM that learns from a peer that an upstream is leaving announces nothing, even after such a response", () => {
    const { view, sharing, sent } = createSharing();
    sharing.receiveLeaving("b", ["e1", "e2"]);
    sharing.recordResponse("e1", { isLeaving: true });
    assert.is(view.isUsable("e1"), false);
    assert.equal(sent, []);
    // The entry of the unknown upstream e2 arrives later and is older than its announcement.
    view.updateUpstream(createUpstream("e2"), 0);
    assert.is(view.isUsable("e2"), false);
});

test("a VM that has read from an entry that an upstream is leaving announces nothing after such a response", () => {
    const { view, sharing, sent, countChanges } = createSharing();
    view.updateUpstream(createUpstream("e1", { isLeaving: true }), 0);
    sharing.recordResponse("e1", { isLeaving: true });
    assert.equal([sent.length, countChanges(), sharing.createInitialMessages().length], [0, 0, 0]);
    // The announcement still holds if an older entry is applied as the newest.
    view.updateUpstream(createUpstream("e1"), 0);
    assert.is(view.isUsable("e1"), false);
});

test("a leaving upstream whose entry lapses and comes back gets no requests, but its next incarnation does", () => {
    const { view, sharing } = createSharing();
    sharing.recordResponse("e1", { isLeaving: true });
    view.removeUpstream("e1");
    view.updateUpstream(createUpstream("e1"), 0);
    assert.equal([view.isUsable("e1"), view.listUsable("llm").length], [false, 0]);
    view.updateUpstream(createUpstream("e1@2", { name: "e1", bornAt: 2 }), 0);
    assert.is(view.isUsable("e1@2"), true);
});

test("a limit that a response names is announced once, and logged by the VMs that learn it", () => {
    const { view, sharing, sent, countChanges } = createSharing();
    const limited = { limit: { kind: "limited", perSecond: 2 } } as const;
    sharing.recordResponse("e1", limited, 0);
    sharing.recordResponse("e1", limited, 1);
    assert.is(view.limits.find("e1")?.perSecond, 2);
    assert.equal(sent, [{ type: "upstreamLimits", limits: [{ upstream: "e1", perSecond: 2, revision: 1 }] }]);
    assert.is(countChanges(), 1);
    assert.equal(sharing.createInitialMessages(), sent);
});

test("an unreadable limit and a response that says nothing reliable change nothing", () => {
    const { view, sharing, sent } = createSharing();
    sharing.recordResponse("e1", { limit: { kind: "limited", perSecond: 2 } }, 0);
    const statements = view.limits.countStatements("e1");
    sharing.recordResponse("e1", { limit: { kind: "unreadable" } }, statements);
    sharing.recordResponse("e1", { limit: undefined }, statements);
    assert.equal([view.limits.find("e1")?.perSecond, sent.length], [2, 1]);
});

test("the response to an order does not end a limit", () => {
    const { view, sharing } = createSharing();
    sharing.recordResponse("e1", { limit: { kind: "limited", perSecond: 2 } }, 0);
    sharing.recordResponse("e1", { limit: { kind: "none" } });
    assert.is(view.limits.find("e1")?.perSecond, 2);
});

test("a change that another VM announces is forwarded once, so that it crosses a cut between two VMs", () => {
    const { view, sharing, sent, countChanges } = createSharing();
    const limits = [{ upstream: "e1", perSecond: 2, revision: 1 }];
    sharing.receiveLimits("b", limits);
    sharing.receiveLimits("c", limits);
    assert.is(view.limits.find("e1")?.perSecond, 2);
    assert.equal(sent, [{ type: "upstreamLimits", limits }]);
    assert.is(countChanges(), 1);
});

test.run();
