/** Guards against completions that end the gateway. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseCompletion } from "../src/completions.js";
import type { CallerRequest } from "../src/request.js";

/** Depth of a prompt: more than any recursion takes. */
const depth = 50_000;

/** Creates a request for an adapter that is offered. */
function createRequest(body: string): CallerRequest {
    return {
        body: Buffer.from(body),
        account: { name: "c", class: "paying" },
        offerings: { findBaseModel: () => "base", isAdapterAllowed: () => true },
    } as unknown as CallerRequest;
}

for (const field of ["messages", "prompt"]) {
    test(`a completion with ${field} that are nested too deeply is refused as malformed`, () => {
        const body = `{"model":"declaration@1","${field}":${"[".repeat(depth)}${"]".repeat(depth)}}`;
        const parsed = parseCompletion(createRequest(body), "/v1/chat/completions");
        assert.is(parsed.isErr() ? parsed.error.reason : "parsed", "malformedBody");
    });
}

test("completions with the same beginning have the same prefix", () => {
    const parse = (prompt: string): string | undefined =>
        parseCompletion(createRequest(JSON.stringify({ model: "declaration@1", prompt })), "/v1/completions")
            .unwrapOr(undefined)?.prefix;
    const start = "x".repeat(600);
    assert.ok(parse("other") !== undefined && parse("other") !== parse(start));
    assert.is(parse(`${start}a`), parse(`${start}b`));
});

test.run();
