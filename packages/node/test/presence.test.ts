/** Guards against requests that are written after their callers have left unnoticed. */
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DirectConnector } from "../src/paths/index.js";
import { PendingReads } from "../src/reads.js";
import { UpstreamConnection } from "../src/requests/connections.js";
import { Exchange, type ExchangePhase } from "../src/requests/exchange.js";
import { CallerPresence } from "../src/requests/presence.js";

/** Reads of a process whose iterations the test runs. */
class StepwiseReads {
    private next: (() => void)[] = [];
    readonly reads = new PendingReads(run => this.next.push(run));

    async runIteration(): Promise<void> {
        const runs = this.next;
        this.next = [];
        runs.forEach(run => run());
        await Promise.resolve();
    }

    /** Starts a wait. @returns Whether it is over. */
    startWait(): () => boolean {
        let isOver = false;
        void this.reads.wait().then(() => isOver = true);
        return () => isOver;
    }
}

test("the reads of a whole iteration are waited for, also by those who come later", async () => {
    const stepwise = new StepwiseReads();
    const first = stepwise.startWait();
    const joined = stepwise.startWait();
    await stepwise.runIteration();
    const late = stepwise.startWait();
    assert.equal([first(), joined(), late()], [false, false, false]);
    await stepwise.runIteration();
    await new Promise(resolve => setImmediate(resolve));
    assert.equal([first(), joined(), late()], [true, true, false]);
    await stepwise.runIteration();
    await new Promise(resolve => setImmediate(resolve));
    assert.is(late(), true);
});

test("a caller counts as present for a short time after its connection was found open", async () => {
    let now = 0;
    let waits = 0;
    const reads = {
        wait: () => {
            waits += 1;
            return Promise.resolve();
        },
    };
    const presence = new CallerPresence({ readBoot: () => now, reads });
    const caller = { hasLeft: false, checkedAt: -Infinity };
    await presence.check(caller);
    assert.is(presence.check(caller), undefined);
    now = 100;
    assert.is(presence.check(caller), undefined);
    now = 101;
    await presence.check(caller);
    assert.equal([waits, caller.checkedAt], [2, 101]);
    now = 1000;
    assert.is(presence.check({ ...caller, hasLeft: true }), undefined);
});

/** Starts an exchange on a new connection. */
async function runExchange(
    act: (
        exchange: (checkWanted: () => Promise<void> | undefined) => Exchange,
        observed: {
            readonly requests: number;
            readonly ends: (ExchangePhase | "complete")[];
            readonly sockets: Socket[];
        },
    ) => Promise<void>,
): Promise<void> {
    const observed = { requests: 0, ends: [] as (ExchangePhase | "complete")[], sockets: [] as Socket[] };
    const server = createServer((_request, response) => {
        observed.requests += 1;
        response.end("x");
    });
    server.on("connection", socket => observed.sockets.push(socket));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const target = { upstream: "u1", address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
    const connection = new UpstreamConnection({ target, connector: new DirectConnector() });
    try {
        await act(checkWanted =>
            new Exchange({
                connection,
                method: "GET",
                path: "/",
                headers: [],
                body: undefined,
                checkWanted,
                receiver: {
                    receiveHead: () => {},
                    receiveData: () => {},
                    receiveEnd: () => observed.ends.push("complete"),
                    receiveBreak: phase => observed.ends.push(phase),
                },
            }), observed);
    }
    finally {
        connection.close();
        server.closeAllConnections();
        server.close();
    }
}

async function waitUntil(check: () => boolean): Promise<void> {
    while (!check()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

test("a request is not written if it is not wanted any more once its connection is open", async () => {
    await runExchange(async (createExchange, observed) => {
        let checks = 0;
        const exchange = createExchange(() => {
            checks += 1;
            exchange.cancel();
            return Promise.resolve();
        });
        exchange.start();
        await waitUntil(() => checks > 0 && observed.sockets.length > 0 && observed.sockets[0]!.destroyed);
        assert.equal([checks, observed.requests, observed.ends], [1, 0, []]);
    });
});

test("a request is written once it is known to be wanted", async () => {
    await runExchange(async (createExchange, observed) => {
        const checked: string[] = [];
        createExchange(() => {
            checked.push("checked");
            return checked.length === 1 ? Promise.resolve() : undefined;
        }).start();
        await waitUntil(() => observed.ends.length > 0);
        assert.equal([checked.length, observed.requests, observed.ends], [1, 1, ["complete"]]);
    });
});

test("a connection that closes while a request is checked has not written it", async () => {
    await runExchange(async (createExchange, observed) => {
        createExchange(async () => {
            await waitUntil(() => observed.sockets.length > 0);
            observed.sockets[0]!.resetAndDestroy();
            await new Promise(resolve => setTimeout(resolve, 20));
        }).start();
        await waitUntil(() => observed.ends.length > 0);
        assert.equal([observed.requests, observed.ends], [0, ["connecting"]]);
    });
});

test.run();
