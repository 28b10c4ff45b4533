import { test } from "uvu";
import * as assert from "uvu/assert";
import { type Account, accountsSchema, AccountTable, readCost, readPriority } from "../src/index.js";

test("each key finds its account, and an unknown key finds none", () => {
    const accounts = Array.from({ length: 10_000 }, (_, index): Account => ({
        name: `account ${index}`,
        keys: Array.from({ length: 5 }, (_key, key) => `key ${index} ${key}`),
    }));
    const table = new AccountTable(accountsSchema.parse(accounts));
    assert.is(table.findByKey("key 9999 4")?.name, "account 9999");
    assert.is(table.findByName("account 17")?.keys.length, 5);
    assert.is(table.findByKey("key 9999 5"), undefined);
    assert.is(table.findByKey("__proto__"), undefined);
    assert.is(table.hasQuotas, false);
});

test("a duplicate name or key is reported with its path", () => {
    const found = accountsSchema.safeParse([{ name: "a", keys: ["k"] }, { name: "a", keys: ["l", "k"] }]);
    assert.equal(found.error?.issues.map(({ path }) => path.join(".")), ["1.name", "1.keys.1"]);
});

test("a request counts its tokens, or the usual number if it has no token count", () => {
    const tokens = { unit: "tokens", perSecond: 1, burst: 1, usualTokens: 200 } as const;
    assert.equal([readCost(tokens, 9300), readCost(tokens, 0), readCost(tokens, undefined)], [9300, 0, 200]);
    assert.is(readCost({ ...tokens, unit: "requests" }, 9300), 1);
});

test("the priority of an account takes precedence over that of a route", () => {
    assert.equal([0, 1, 2, 12].map(route => readPriority(route, undefined)), [0, 1, 2, 9]);
    assert.ok(readPriority(2, 0) < readPriority(0, 1));
    assert.ok(readPriority(0, 1) < readPriority(1, 1));
    assert.is(readPriority(0, 7), 9);
});

test.run();
