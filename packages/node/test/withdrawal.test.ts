import type { Account } from "@radishreel/routing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ClusterChange } from "../src/ports.js";
import { plainRouting, serveWhileChanging } from "./changingserver.js";

function createRouting(version: number, accounts: Account[]): ClusterChange {
    return { kind: "routing", routing: { ...plainRouting, version, accounts }, position: version + 1 };
}

const routing = { ...plainRouting, accounts: [{ name: "one", keys: ["k"] }, { name: "two", keys: [] }] };

test("a request whose key is revoked while the upstream connection opens gets 401 and is not sent", async () => {
    const { status, reached } = await serveWhileChanging({
        routing,
        createChange: () => createRouting(2, [{ name: "one", keys: [] }]),
    });
    assert.is(status, 401);
    assert.equal(reached, []);
});

test("a request whose key moves to another account while the connection opens runs under the new account", async () => {
    const { status, accounts } = await serveWhileChanging({
        routing,
        createChange: () => createRouting(2, [{ name: "one", keys: [] }, { name: "two", keys: ["k"] }]),
    });
    assert.is(status, 200);
    assert.equal(accounts, ["two"]);
});

test.run();
