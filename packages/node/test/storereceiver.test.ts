import { createOrdinal } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ChangeReceiver, type ChangeReceiverOptions } from "../src/knowledge/changereceiver.js";
import type { ClusterState } from "../src/knowledge/cluster.js";
import type { ChangeSharing } from "../src/knowledge/sharing.js";
import { StoreReceiver, type StoreReceiverOptions } from "../src/knowledge/storereceiver.js";
import type { ClusterChange } from "../src/ports.js";
import { createSilentLog, createUpstream } from "./fixtures.js";

test("removals that only a list of upstreams shows are forwarded to the VMs that follow", () => {
    const removal: ClusterChange = { kind: "upstreamGone", name: "u1", position: createOrdinal(2, 3) };
    const forwarded: ClusterChange[][] = [];
    const receiver = new StoreReceiver({
        log: createSilentLog(() => 0),
        cluster: { applyUpstreamList: () => [removal] } as unknown as ClusterState,
        sharing: {
            forwardChanges: (changes: readonly ClusterChange[]) => forwarded.push([...changes]),
        } as unknown as ChangeSharing,
    } as Partial<StoreReceiverOptions> as StoreReceiverOptions);
    receiver.receiveUpstreamList(new Set(), createOrdinal(2, 4));
    assert.equal(forwarded, [[removal]]);
});

test("an upstream without a usable address that another VM forwards is removed, counted and opens no connection", () => {
    const topics: string[] = [];
    const applied: ClusterChange[] = [];
    const receiver = new ChangeReceiver({
        log: createSilentLog(() => 0),
        metrics: { recordUnreadableRecord: topic => void topics.push(topic) },
        cluster: {
            applyChanges: (changes: readonly ClusterChange[]) => {
                applied.push(...changes);
                return [];
            },
        } as unknown as ClusterState,
    } as Partial<ChangeReceiverOptions> as ChangeReceiverOptions);
    const usable: ClusterChange = { kind: "upstream", upstream: createUpstream("u1"), position: 3 };
    receiver.receiveChanges(
        [usable, { kind: "upstream", upstream: createUpstream("u2", { address: "10.0.0.\ufffd:80" }), position: 4 }],
        "vm1",
    );
    assert.equal(applied, [usable, { kind: "upstreamGone", name: "u2", position: 4 }]);
    assert.equal(topics, ["changes"]);
});

test.run();
