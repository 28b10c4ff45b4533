import { test } from "uvu";
import * as assert from "uvu/assert";
import { type PermitMessage, Permits } from "../src/crashes/permits.js";

/** VMs that ask each other for leave to run a suspected request, over links that carry messages at once. */
function createVms(names: readonly string[], findReferee: () => string | undefined) {
    const isCut = new Set<string>();
    const vms = new Map<string, Permits>();
    for (const name of names) {
        vms.set(
            name,
            new Permits({
                readTime: () => 0,
                findIssuer: findReferee,
                send: (to: string, message: PermitMessage) => {
                    if (!isCut.has(to)) {
                        vms.get(to)!.receiveMessage(name, message);
                    }
                    return true;
                },
            }),
        );
    }
    return { vms, isCut };
}

test("of two VMs one runs a suspected request, then the other", async () => {
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

test("one that may not wait any longer does not run", async () => {
    const { vms } = createVms(["a", "b"], () => "a");
    await vms.get("a")!.claim("r", () => true);
    assert.is(await vms.get("b")!.claim("r", () => false), undefined);
});

test("without a referee, or with one that does not answer, requests go on", async () => {
    const { vms, isCut } = createVms(["a", "b"], () => undefined);
    assert.ok(await vms.get("a")!.claim("r", () => true));
    const silent = createVms(["a", "b"], () => "b");
    silent.isCut.add("b");
    assert.ok(await silent.vms.get("a")!.claim("r", () => true));
    assert.is(isCut.size, 0);
});

test("what a VM ran that is gone does not hold up others", async () => {
    const { vms } = createVms(["a", "b"], () => "b");
    await vms.get("a")!.claim("r", () => true);
    vms.get("b")!.removeVm("a");
    assert.ok(await vms.get("b")!.claim("r", () => false));
});

test.run();
