import { test } from "uvu";
import * as assert from "uvu/assert";
import { z } from "zod";
import { formatMistake, parseJsonc } from "../src/index.js";

const schema = z.strictObject({ port: z.number().int(), names: z.array(z.string()).default([]) });

test("a file with comments and trailing commas is parsed", () => {
    const parsed = parseJsonc("f.jsonc", "// a comment\n{ \"port\": 1, /* another */ \"names\": [\"a\",], }", schema);
    assert.equal(parsed._unsafeUnwrap(), { port: 1, names: ["a"] });
});

/** Files with a mistake, and the position and text that are reported for it. */
const mistakes: readonly { name: string; text: string; expected: RegExp; }[] = [
    { name: "a value of a wrong type", text: "{\n  \"port\": \"x\"\n}", expected: /^f\.jsonc:2:11: port: / },
    {
        name: "an array element of a wrong type",
        text: "{\n  \"port\": 1,\n  \"names\": [\"a\", 2]\n}",
        expected: /^f\.jsonc:3:18: names\.1: /,
    },
    { name: "a missing value", text: "{}", expected: /^f\.jsonc:1:1: port: / },
    { name: "an unknown key", text: "{ \"port\": 1, \"prot\": 2 }", expected: /prot/ },
    {
        name: "a duplicate key",
        text: "{ \"port\": 1,\n  \"port\": 2 }",
        expected: /^f\.jsonc:2:3: port: "port" is given twice/,
    },
    { name: "text that is not JSON", text: "{ port }", expected: /^f\.jsonc:1:3: not valid JSON with comments/ },
    { name: "an empty file", text: "", expected: /^f\.jsonc:1:1: / },
];

for (const { name, text, expected: found } of mistakes) {
    test(`${name} is reported with its position`, () => {
        const [mistake] = parseJsonc("f.jsonc", text, schema)._unsafeUnwrapErr();
        assert.match(formatMistake(mistake!), found);
    });
}

test.run();
