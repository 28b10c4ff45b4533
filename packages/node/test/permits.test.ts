import { test } from "uvu";
import * as assert from "uvu/assert";
import { type PermitMessage, Permits } from "../src/crashes/permits.js";

/** Creates VMs that claim permits for a suspect request from each other, over links that deliver messages at once. */
function createVms(names: readonly string[], findPermitIssuer: () => string | undefined) {
    const unreachable = new Set<string>();
    const vms = new Map<string, Permits>();
    for (const name of names) {
        vms.set(
            name,
            new Permits({
                readTime: () => 0,
                findIssuer: findPermitIssuer,
                send: (to: string, message: PermitMessage) => {
                    if (!unreachable.has(to)) {
                        vms.get(to)!.receiveMessage(name, message);
                    }
                    return true;
                },
            }),
        );
    }
    return { vms, unreachable };
}

test("two VMs that claim a permit for the same suspect request get it one after the other", async () => {
    const { vms } = createVms(["a", "b", "c"], () => "c");
    const first = await vms.get("a")!.claim("r", () => true);
    assert.ok(first);
    let hasAsked = false;
    const second = vms.get("b")!.claim("r", () => {
        if (!hasAsked) {
            hasAsked = true;
            first.release();
        }
        return true;
    });
    assert.ok(await second);
    assert.is(hasAsked, true);
});

test("a claim that may not wait any longer gets no permit", async () => {
    const { vms } = createVms(["a", "b"], () => "a");
    await vms.get("a")!.claim("r", () => true);
    assert.is(await vms.get("b")!.claim("r", () => false), undefined);
});

test("a request may run if there is no permit issuer, or the issuer does not reply", async () => {
    const { vms, unreachable } = createVms(["a", "b"], () => undefined);
    assert.ok(await vms.get("a")!.claim("r", () => true));
    const silent = createVms(["a", "b"], () => "b");
    silent.unreachable.add("b");
    assert.ok(await silent.vms.get("a")!.claim("r", () => true));
    assert.is(unreachable.size, 0);
});

test("the permit of a removed VM does not block other VMs", async () => {
    const { vms } = createVms(["a", "b"], () => "b");
    await vms.get("a")!.claim("r", () => true);
    vms.get("b")!.removeVm("a");
    assert.ok(await vms.get("b")!.claim("r", () => false));
});

test.run();
