import { FleetView, type Upstream } from "@radishreel/fleet";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ClusterState } from "../src/knowledge/cluster.js";
import type { ClusterChange } from "../src/ports.js";
import { createEngineStatus, createSilentLog, createUpstream } from "./fixtures.js";

/** Creates the engine's entry for one incarnation. */
function createIncarnation(bornAt: number, sequence: number): Upstream {
    return createUpstream(`e1@${bornAt}`, { name: "e1", bornAt, service: "s", sequence });
}

function createVm() {
    const view = new FleetView();
    const gone: string[] = [];
    let now = 0;
    const cluster = new ClusterState({
        view,
        log: createSilentLog(() => now),
        readTime: () => now,
        onChange: () => {},
        onUpstreamGone: id => gone.push(id),
        onMember: () => {},
    });
    cluster.setReachable(true);
    // The store has been reachable for long, so that the removal of an entry takes effect at once.
    now = 60_000;
    return { view, cluster, gone };
}

test("a restarted upstream is a new upstream, and no state of its predecessor applies to it", () => {
    const { view, cluster, gone } = createVm();
    cluster.applyChanges([{ kind: "upstream", upstream: createIncarnation(1000, 9), position: 1 }]);
    view.updateStatus("owner", createEngineStatus("e1@1000", { revision: 5, held: { "m/a1": 1 } }), 0);
    view.findUpstream("e1@1000")!.health.recordUnreachable(0, 0);
    cluster.applyChanges([{ kind: "upstream", upstream: createIncarnation(2000, 0), position: 2 }]);
    assert.equal(gone, ["e1@1000"]);
    assert.equal(view.listUpstreams().map(({ upstream }) => upstream.id), ["e1@2000"]);
    const fresh = view.findUpstream("e1@2000")!;
    assert.is(fresh.status, undefined);
    assert.is(fresh.owner, undefined);
    assert.is(fresh.warm.has("m/a1"), false);
    assert.is(fresh.health.isPaused(0), false);
    assert.is(
        view.updateStatus("owner", createEngineStatus("e1@1000", { revision: 6, held: { "m/a2": 1 } }), 0),
        false,
    );
    assert.is(fresh.status, undefined);
});

/** An event of one VM that follows an engine: entries and removals in any order, and statuses from owners. */
type Step =
    | { readonly kind: "entry"; readonly incarnation: number; }
    | { readonly kind: "removal"; }
    | { readonly kind: "news"; readonly incarnation: number; };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
    fc.record({ kind: fc.constant("entry" as const), incarnation: fc.integer({ min: 1, max: 4 }) }),
    fc.record({ kind: fc.constant("removal" as const) }),
    fc.record({ kind: fc.constant("news" as const), incarnation: fc.integer({ min: 1, max: 4 }) }),
);

test("over random histories two VMs agree on the incarnation in use and apply only its statuses", () => {
    fc.assert(
        fc.property(
            fc.array(stepArbitrary, { minLength: 1, maxLength: 25 }),
            fc.array(fc.nat(1000), { minLength: 25, maxLength: 25 }),
            (steps, shuffle) => {
                const changes = steps.flatMap((step, position): ClusterChange[] => {
                    switch (step.kind) {
                        case "entry":
                            return [{
                                kind: "upstream",
                                upstream: createIncarnation(step.incarnation * 1000, 0),
                                position,
                            }];
                        case "removal":
                            return [{ kind: "upstreamGone", name: "e1", position }];
                        case "news":
                            return [];
                    }
                });
                const inOrder = createVm();
                const outOfOrder = createVm();
                for (const [index, step] of steps.entries()) {
                    if (step.kind === "news") {
                        const status = createEngineStatus(`e1@${step.incarnation * 1000}`, {
                            revision: index,
                            held: { [`m/a${step.incarnation}`]: 1 },
                        });
                        inOrder.view.updateStatus("owner", status, 0);
                    }
                    inOrder.cluster.applyChanges(changes.filter(({ position }) => position === index));
                    for (const { upstream, status } of inOrder.view.listUpstreams()) {
                        assert.ok(status === undefined || status.engine === upstream.id);
                    }
                }
                const shuffled = [...changes].sort((left, right) =>
                    shuffle[left.position]! - shuffle[right.position]! || left.position - right.position
                );
                for (const change of shuffled) {
                    outOfOrder.cluster.applyChanges([change]);
                    assert.ok(outOfOrder.view.listUpstreams().length <= 1);
                }
                outOfOrder.cluster.applyChanges(changes);
                const list = (vm: typeof inOrder) => vm.view.listUpstreams().map(({ upstream }) => upstream.id);
                assert.equal(list(inOrder), list(outOfOrder));
            },
        ),
        { seed: 17, numRuns: 500 },
    );
});

test.run();
