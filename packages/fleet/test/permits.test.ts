import { test } from "uvu";
import * as assert from "uvu/assert";
import { PermitReferee } from "../src/index.js";

test("one copy of a suspected request runs at a time, whichever VM has it", () => {
    const referee = new PermitReferee();
    assert.is(referee.claim("r", "a", 1, 0), true);
    assert.is(referee.claim("r", "b", 1, 1), false);
    assert.is(referee.claim("r", "a", 2, 1), false);
    assert.is(referee.claim("s", "b", 2, 1), true);
    // The word that it may run was lost.
    assert.is(referee.claim("r", "a", 1, 2), true);
    referee.release("r", "b", 1);
    assert.is(referee.claim("r", "b", 1, 3), false);
    referee.release("r", "a", 1);
    assert.is(referee.claim("r", "b", 1, 3), true);
});

test("what a VM ran that is gone holds up nobody", () => {
    const referee = new PermitReferee();
    referee.claim("r", "a", 1, 0);
    referee.removeVm("a");
    assert.is(referee.claim("r", "b", 1, 1), true);
});

test("a run of which nothing is heard any more holds up others for some seconds only", () => {
    const referee = new PermitReferee({ lifeMs: 1000 });
    referee.claim("r", "a", 1, 0);
    assert.is(referee.claim("r", "b", 1, 999), false);
    assert.is(referee.claim("r", "b", 1, 1000), true);
    referee.expireOld(2000);
    assert.is(referee.permitCount, 0);
});

test.run();
