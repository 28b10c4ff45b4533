import { test } from "uvu";
import * as assert from "uvu/assert";
import { z } from "zod";
import { formatMistake, parseJsonc } from "../src/index.js";

const schema = z.strictObject({ port: z.number().int(), names: z.array(z.string()).default([]) });

test("comments and trailing commas are taken", () => {
    const parsed = parseJsonc("f.jsonc", "// a comment\n{ \"port\": 1, /* another */ \"names\": [\"a\",], }", schema);
    assert.equal(parsed._unsafeUnwrap(), { port: 1, names: ["a"] });
});

/** Mistakes, and where they are found. */
const mistakes: readonly { name: string; text: string; found: RegExp; }[] = [
    { name: "a wrong type", text: "{\n  \"port\": \"x\"\n}", found: /^f\.jsonc:2:11: port: / },
    {
        name: "a wrong member of an array",
        text: "{\n  \"port\": 1,\n  \"names\": [\"a\", 2]\n}",
        found: /^f\.jsonc:3:18: names\.1: /,
    },
    { name: "a missing value", text: "{}", found: /^f\.jsonc:1:1: port: / },
    { name: "an unknown name", text: "{ \"port\": 1, \"prot\": 2 }", found: /prot/ },
    {
        name: "a name given twice",
        text: "{ \"port\": 1,\n  \"port\": 2 }",
        found: /^f\.jsonc:2:3: port: "port" is given twice/,
    },
    { name: "text that is no JSON", text: "{ port }", found: /^f\.jsonc:1:3: not valid JSON with comments/ },
    { name: "an empty file", text: "", found: /^f\.jsonc:1:1: / },
];

for (const { name, text, found } of mistakes) {
    test(`${name} is named with its line and column`, () => {
        const [mistake] = parseJsonc("f.jsonc", text, schema)._unsafeUnwrapErr();
        assert.match(formatMistake(mistake!), found);
    });
}

test.run();
