/** Guards against ends of responses that are believed by what was sent before them, or by another incarnation. */
import type { Upstream } from "@radishreel/fleet";
import type { Service } from "@radishreel/routing";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { CallBatches } from "../src/crashes/batches.js";
import { CalledIncarnationCheck, type IncarnationResult } from "../src/crashes/incarnations.js";
import type { ProbeResult } from "../src/paths/index.js";
import { ConnectionPool } from "../src/requests/connectionpool.js";
import { plainDialect } from "./changingserver.js";
import { createUpstream } from "./fixtures.js";
import { createRandom } from "./random.js";

const plainService: Service = { name: "desk", maxConnections: 10, healthCheckPath: "/health" };

/** How a fake server treats one call. */
type Reply = "same" | "other" | "name" | "close" | "late" | "unnamed";

/** A server that answers calls, and the check that calls it. */
class CheckedServer {
    readonly replies: Reply[] = [];
    calls = 0;
    probes = 0;
    probed: ProbeResult = "open";
    /** How far the clock of the connections is ahead, in milliseconds. */
    aheadMs = 0;
    readonly pool = new ConnectionPool();
    private readonly server: Server = createServer((_request, response) => {
        this.calls += 1;
        const reply = this.replies.shift() ?? "same";
        if (reply === "close") {
            response.socket?.destroy();
            return;
        }
        if (reply === "late" || reply === "unnamed") {
            response.setHeader("Belongs-To", reply);
        }
        response.end(reply === "late" ? "same" : reply === "unnamed" ? "name" : reply);
    });
    private readonly check = new CalledIncarnationCheck({
        pool: this.pool,
        dialect: {
            createIdentityCall: (_upstream, { healthCheckPath: path }) =>
                path === undefined ? undefined : { path, headers: [], requestId: "q" },
            parseIdentity: (_upstream, { body }) =>
                body === "same" ? "incarnation" : body === "name" ? "name" : body === "other" ? "other" : "nothing",
            parseResponse: (status, headers) => ({
                ...plainDialect.parseResponse(status, headers),
                requestId: headers.includes("late") ? "another" : headers.includes("unnamed") ? undefined : "q",
            }),
        },
        readTime: () => performance.now() + this.aheadMs,
        probe: async () => {
            this.probes += 1;
            return this.probed;
        },
    });

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
    }

    stop(): void {
        this.pool.close();
        this.server.close();
        this.server.closeAllConnections();
    }

    createUpstream(bornAt: number): Upstream {
        const { port } = this.server.address() as AddressInfo;
        return { ...createUpstream("u"), address: `127.0.0.1:${port}`, bornAt };
    }

    run(bornAt = 1, writtenAt = performance.now(), service = plainService): Promise<IncarnationResult> {
        return this.check.checkRunning(this.createUpstream(bornAt), { service, writtenAt });
    }
}

/** Defines a test of a server that runs. */
function runServerTest(name: string, act: (server: CheckedServer) => Promise<void>): void {
    test(name, async () => {
        const server = new CheckedServer();
        await server.start();
        try {
            await act(server);
        }
        finally {
            server.stop();
        }
    });
}

runServerTest("ends that come together cost one call", async server => {
    const results = await Promise.all(Array.from({ length: 20 }, () => server.run()));
    assert.equal(results, Array(20).fill("same"));
    assert.is(server.calls, 1);
});

runServerTest("a call that finds another incarnation is not sent again", async server => {
    server.replies.push("other");
    assert.is(await server.run(), "other");
    assert.equal([server.calls, server.probes], [1, 0]);
});

runServerTest("a connection that closes without an answer proves nothing, and another one is asked", async server => {
    server.replies.push("close");
    assert.is(await server.run(), "same");
    assert.equal([server.calls, server.probes], [2, 1]);
});

runServerTest("a late response to another request proves nothing, and another connection is asked", async server => {
    server.replies.push("late", "other");
    assert.is(await server.run(), "other");
});

runServerTest("an upstream that does not answer twice is not shown to run", async server => {
    server.replies.push("close", "close");
    assert.is(await server.run(), "unproven");
    assert.is(server.calls, 2);
});

for (const probed of ["refused", "silent"] as const) {
    runServerTest(
        `an upstream whose address is ${probed} after a call without an answer is not called again`,
        async server => {
            server.probed = probed;
            server.replies.push("close");
            assert.is(await server.run(), probed);
            assert.is(server.calls, 1);
        },
    );
}

runServerTest("a plain upstream without health checks is not shown to run", async server => {
    assert.is(await server.run(0, 0, { name: "desk", maxConnections: 10 }), "unproven");
    assert.is(server.calls, 0);
});

runServerTest("the name alone counts for an upstream that never starts again under it", async server => {
    server.replies.push("name");
    assert.is(await server.run(0, 0), "same");
});

runServerTest(
    "the name alone counts for one that may start again only on a connection older than the request",
    async server => {
        server.replies.push("name", "name", "name");
        const before = performance.now();
        assert.is(await server.run(1, before), "unproven");
        assert.is(await server.run(1, before), "unproven");
        assert.is(await server.run(1, performance.now()), "same");
    },
);

runServerTest("right after another response, one that names no request proves nothing", async server => {
    server.replies.push("name", "unnamed", "name", "unnamed");
    await server.run(1, 0);
    assert.is(await server.run(1, performance.now()), "unproven");
    assert.is(server.calls, 3);
    server.aheadMs += 60;
    assert.is(await server.run(1, performance.now()), "same");
});

/** Asks for results and answers calls in a random order. */
async function runRandomOrder(seed: number): Promise<void> {
    const random = createRandom(seed);
    const batches = new CallBatches<number>();
    let now = 0;
    let sent = 0;
    let underWay = 0;
    let mostUnderWay = 0;
    let asked = 0;
    let settled = 0;
    const tooOld: number[] = [];
    const pending: (() => void)[] = [];
    const send = (): Promise<number> => {
        const sentAt = now += 1;
        sent += 1;
        underWay += 1;
        mostUnderWay = Math.max(mostUnderWay, underWay);
        return new Promise((resolve, reject) =>
            pending.push(() => {
                underWay -= 1;
                if (random() < 0.2) {
                    reject(new Error("lost"));
                }
                else {
                    resolve(sentAt);
                }
            })
        );
    };
    const ask = (): void => {
        const askedAt = now += 1;
        asked += 1;
        void batches.ask("u", send).then(sentAt => sentAt > askedAt || tooOld.push(askedAt), () => {}).then(() => {
            settled += 1;
        });
    };
    const runTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
    for (let step = 0; step < 30; step++) {
        const kind = random();
        if (kind < 0.5) {
            ask();
        }
        else if (kind < 0.75) {
            pending.shift()?.();
        }
        else {
            await runTurn();
        }
    }
    for (let turn = 0; turn < 30; turn++) {
        await runTurn();
        pending.shift()?.();
    }
    await runTurn();
    assert.equal({ tooOld, settled, mostUnderWay }, { tooOld: [], settled: asked, mostUnderWay: 1 }, `seed ${seed}`);
    assert.ok(sent <= asked, `seed ${seed}: ${sent} calls for ${asked} questions`);
}

test("a result never holds for a time before its call was sent, in any order of events", async () => {
    for (let seed = 1; seed <= 300; seed++) {
        await runRandomOrder(seed);
    }
});

test.run();
