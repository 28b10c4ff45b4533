import { test } from "uvu";
import * as assert from "uvu/assert";
import { KeptBytes, ResponseMemory } from "../src/requests/responsememory.js";

const kilobyte = 1024;

test("responses keep their bytes until all of them together exceed their share of the VM's memory", () => {
    const memory = new ResponseMemory();
    memory.setMemory(200);
    const [large, small] = [new KeptBytes(memory), new KeptBytes(memory)];
    large.push(Buffer.alloc(10 * kilobyte * kilobyte));
    assert.is(large.isRefused, false);
    small.push(Buffer.alloc(16 * kilobyte));
    assert.is(large.isRefused, true);
    assert.is(small.isRefused, false, "a small response may be kept in any case");
    small.push(Buffer.alloc(1));
    assert.is(small.isRefused, true);
    assert.is(large.popAll().length, 10 * kilobyte * kilobyte);
    assert.is(small.isRefused, false);
});

test("bytes count until they are taken out or dropped", () => {
    const memory = new ResponseMemory();
    const kept = new KeptBytes(memory);
    kept.push(Buffer.alloc(kilobyte));
    assert.is(memory.heldBytes, kilobyte);
    kept.popAll();
    assert.is(memory.heldBytes, 0);
    kept.push(Buffer.alloc(kilobyte));
    kept.close();
    kept.close();
    assert.is(memory.heldBytes, 0);
});

test("responses of a VM whose memory is not known are kept", () => {
    const kept = new KeptBytes(new ResponseMemory());
    kept.push(Buffer.alloc(kilobyte * kilobyte));
    assert.is(kept.isRefused, false);
});

test.run();
