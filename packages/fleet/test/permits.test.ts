import { test } from "uvu";
import * as assert from "uvu/assert";
import { PermitIssuer } from "../src/index.js";

test("only one copy of a suspect request runs at a time, over all VMs", () => {
    const issuer = new PermitIssuer();
    assert.is(issuer.claim("r", "a", 1, 0), true);
    assert.is(issuer.claim("r", "b", 1, 1), false);
    assert.is(issuer.claim("r", "a", 2, 1), false);
    assert.is(issuer.claim("s", "b", 2, 1), true);
    // The reply with the permit was lost, so the VM claims it again.
    assert.is(issuer.claim("r", "a", 1, 2), true);
    issuer.release("r", "b", 1);
    assert.is(issuer.claim("r", "b", 1, 3), false);
    issuer.release("r", "a", 1);
    assert.is(issuer.claim("r", "b", 1, 3), true);
});

test("the permits of a VM that is gone are available again", () => {
    const issuer = new PermitIssuer();
    issuer.claim("r", "a", 1, 0);
    issuer.removeVm("a");
    assert.is(issuer.claim("r", "b", 1, 1), true);
});

test("a permit that is never released expires", () => {
    const issuer = new PermitIssuer({ lifeMs: 1000 });
    issuer.claim("r", "a", 1, 0);
    assert.is(issuer.claim("r", "b", 1, 999), false);
    assert.is(issuer.claim("r", "b", 1, 1000), true);
    issuer.expireOld(2000);
    assert.is(issuer.permitCount, 0);
});

test.run();
