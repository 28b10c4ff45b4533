/** Guards against connections of sound upstreams that are reset because of heads and framing that are allowed. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FramingLimit } from "../src/requests/framinglimit.js";

/** Bytes of the head of a response, and of a chunk of one byte with its framing. */
const headBytes = 400;
const chunkBytes = 6;

test("a body in chunks of one byte stays within the limit", () => {
    const limit = new FramingLimit();
    for (let chunk = 0; chunk < 1_000_000; chunk++) {
        limit.recordReceived(chunkBytes);
        limit.recordContent(1);
        assert.is(limit.isExceeded, false);
    }
});

test("the heads of responses on one connection do not add up", () => {
    const limit = new FramingLimit();
    for (let response = 0; response < 1000; response++) {
        limit.restart();
        limit.recordReceived(headBytes);
        assert.is(limit.isExceeded, false);
    }
});

test("heads and framing without content exceed the limit", () => {
    const limit = new FramingLimit();
    limit.recordReceived(headBytes);
    assert.is(limit.isExceeded, false);
    limit.recordReceived(100_000);
    assert.is(limit.isExceeded, true);
});

test.run();
