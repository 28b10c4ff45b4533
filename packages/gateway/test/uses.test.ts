import { test } from "uvu";
import * as assert from "uvu/assert";
import { UseCounter } from "../src/uses.js";

test("requests are counted per engine from their dispatch to their end", () => {
    const uses = new UseCounter();
    uses.add("x", "a@1", "paying");
    uses.add("x", "b@1", "trial");
    uses.add("y", "a@1", "paying");
    assert.equal([...uses.readInFlight()], [["x", { paying: 1, trial: 1 }], ["y", { paying: 1, trial: 0 }]]);
    assert.ok(uses.remove("x", "a@1", "paying", true, 1));
    assert.equal(uses.list().map(use => `${use.engineId} ${use.model}`), ["x b@1", "y a@1"]);
});

test("a use whose end the engine did not confirm is reported until a renewal with it is acknowledged", () => {
    const uses = new UseCounter();
    uses.add("x", "a@1", "paying");
    uses.remove("x", "a@1", "paying", false, 7);
    uses.removeUnconfirmed(6);
    assert.is(uses.listUnconfirmed().length, 1);
    uses.removeUnconfirmed(7);
    assert.is(uses.listUnconfirmed().length, 0);
});

test.run();
