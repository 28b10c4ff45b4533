import { createOrdinal } from "@radishreel/fleet";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ClusterState } from "../src/knowledge/cluster.js";
import type { ChangeSharing } from "../src/knowledge/sharing.js";
import { StoreReceiver, type StoreReceiverOptions } from "../src/knowledge/storereceiver.js";
import type { ClusterChange } from "../src/ports.js";
import { createSilentLog } from "./fixtures.js";

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

test.run();
