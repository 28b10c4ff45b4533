import { test } from "uvu";
import * as assert from "uvu/assert";
import { type RequestContent, RequestDigest } from "../src/requests/digest.js";

const content: RequestContent = {
    method: "POST",
    host: "a.example",
    path: "/b/c",
    account: "Bearer one",
    body: Buffer.from("text"),
};

function createFull(other: Partial<RequestContent> = {}): string {
    return new RequestDigest({ ...content, ...other }).full;
}

test("equal requests have the same digest, regardless of the case of the host", () => {
    assert.is(createFull(), createFull());
    assert.is(createFull(), createFull({ host: "A.Example" }));
});

const differences: Partial<RequestContent>[] = [
    { method: "GET" },
    { host: "b.example" },
    { path: "/b/c?d" },
    { account: "Bearer two" },
    { account: undefined },
    { body: Buffer.from("other") },
    { body: undefined },
    // The boundary between host and path must count.
    { host: "a.example/b", path: "/c" },
];

for (const other of differences) {
    test(`a request that differs in ${Object.keys(other).join(" and ")} has another digest`, () => {
        assert.is.not(createFull(), createFull(other));
    });
}

test("requests that differ only in the body share the head of their digests", () => {
    const other = new RequestDigest({ ...content, body: Buffer.from("other") });
    assert.is(new RequestDigest(content).head, other.head);
    assert.ok(other.full.startsWith(other.head));
});

test("a digest consists of two hashes in hexadecimal and contains no text of the request", () => {
    assert.match(createFull(), /^[0-9a-f]{16}\.[0-9a-f]{32}$/);
});

test.run();
