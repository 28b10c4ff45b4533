import { test } from "uvu";
import * as assert from "uvu/assert";
import { ByteBuffer } from "../src/index.js";

test("a byte buffer returns the bytes of all pieces in order, whatever their sizes", () => {
    const buffer = new ByteBuffer();
    for (const sizes of [[], [0, 1, 2, 3], [70_000], [1, 65_536, 5, 200_000, 0, 9], Array<number>(70_000).fill(3)]) {
        const pieces = sizes.map((size, index) => Buffer.alloc(size, index % 251));
        pieces.forEach(piece => buffer.push(piece));
        const whole = Buffer.concat(pieces);
        assert.is(buffer.length, whole.length);
        assert.ok(buffer.popAll().equals(whole));
        assert.is(buffer.length, 0);
    }
});

test("a byte buffer keeps no view of what a piece came from", () => {
    const buffer = new ByteBuffer();
    const source = Buffer.from("abc");
    buffer.push(source);
    source.fill("x");
    assert.is(buffer.popAll().toString(), "abc");
});

test("the memory of a byte buffer follows its bytes, not the number of its pieces", () => {
    const buffer = new ByteBuffer();
    const read = Buffer.alloc(64 * 1024, "a");
    const before = process.memoryUsage().arrayBuffers;
    for (let piece = 0; piece < 1024 * 1024; piece++) {
        buffer.push(read.subarray(0, 1));
    }
    const grownBytes = process.memoryUsage().arrayBuffers - before;
    assert.ok(grownBytes <= 2 * buffer.length + 64 * 1024, `${grownBytes} bytes for ${buffer.length}`);
});

test.run();
