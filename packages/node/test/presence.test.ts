/** Guards against requests that are written after their callers have left unnoticed. */
import { createServer } from "node:http";
import { type AddressInfo, connect, Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DirectConnector } from "../src/paths/index.js";
import { PendingReads } from "../src/reads.js";
import type { AttemptEnd } from "../src/requests/attemptend.js";
import { CallerExchange } from "../src/requests/caller.js";
import { CallerConnections } from "../src/requests/callerconnections.js";
import { ConnectionPool } from "../src/requests/connectionpool.js";
import { UpstreamConnection } from "../src/requests/connections.js";
import type { Exchange, ExchangePhase, ExchangeReceiver } from "../src/requests/exchange.js";
import { CallerPresence } from "../src/requests/presence.js";
import { createAttempt } from "./attempts.js";
import { startExchange } from "./exchanges.js";

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
        start: (checkWanted: () => Promise<void> | undefined) => Exchange,
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
        const receiver: Partial<ExchangeReceiver> = {
            receiveEnd: () => observed.ends.push("complete"),
            receiveBreak: phase => observed.ends.push(phase),
        };
        await act(checkWanted => startExchange({ connection, receiver, checkWanted }), observed);
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
    await runExchange(async (start, observed) => {
        let checks = 0;
        const exchange = start(() => {
            checks += 1;
            exchange.cancel();
            return Promise.resolve();
        });
        await waitUntil(() => checks > 0 && observed.sockets.length > 0 && observed.sockets[0]!.destroyed);
        assert.equal([checks, observed.requests, observed.ends], [1, 0, []]);
    });
});

test("a request is written once it is known to be wanted", async () => {
    await runExchange(async (start, observed) => {
        const checked: string[] = [];
        start(() => {
            checked.push("checked");
            return checked.length === 1 ? Promise.resolve() : undefined;
        });
        await waitUntil(() => observed.ends.length > 0);
        assert.equal([checked.length, observed.requests, observed.ends], [1, 1, ["complete"]]);
    });
});

test("a connection that closes while a request is checked has not written it", async () => {
    await runExchange(async (start, observed) => {
        start(async () => {
            await waitUntil(() => observed.sockets.length > 0);
            observed.sockets[0]!.resetAndDestroy();
            await new Promise(resolve => setTimeout(resolve, 20));
        });
        await waitUntil(() => observed.ends.length > 0);
        assert.equal([observed.requests, observed.ends], [0, ["connecting"]]);
    });
});

test("a connection that opens after its request was cancelled is closed", async () => {
    const socket = new Socket();
    let finishOpening: (opened: { readonly socket: Socket; }) => void = () => {};
    const connection = new UpstreamConnection({
        target: { upstream: "u1", address: "127.0.0.1:9" },
        connector: {
            mayReuse: () => true,
            open: () =>
                new Promise(resolve => {
                    finishOpening = resolve;
                }),
        },
    });
    const opening = connection.open().then(() => "opened", (error: Error) => error.message);
    connection.cancel();
    finishOpening({ socket });
    assert.equal([await opening, socket.destroyed], ["connection closed", true]);
});

/** Stops this process for a time, in milliseconds. */
function pauseProcess(ms: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

test("a request is not written if its caller left while its connection opened and the process stood still", async () => {
    let writes = 0;
    const upstream = createServer((_request, response) => response.end("x"));
    const front = createServer();
    await Promise.all(
        [upstream, front].map(server => new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))),
    );
    const client = connect((front.address() as AddressInfo).port, "127.0.0.1");
    const direct = new DirectConnector();
    const pool = new ConnectionPool({
        connector: {
            mayReuse: () => true,
            open: async (target, signal) => {
                const opened = await direct.open(target, signal);
                client.destroy();
                pauseProcess(150);
                return opened;
            },
        },
    });
    const presence = new CallerPresence({ readBoot: () => performance.now() });
    const connections = new CallerConnections(() => performance.now());
    front.on("connection", (socket: Socket) => connections.add(socket));
    const end = new Promise<AttemptEnd>(resolve => {
        front.on("request", (request, response) => {
            const caller = new CallerExchange(request, response);
            connections.receive(caller, () =>
                void presence.check(caller)!.then(() =>
                    createAttempt({
                        caller,
                        pool,
                        address: `127.0.0.1:${(upstream.address() as AddressInfo).port}`,
                        checkWanted: () => presence.check(caller),
                        checkBeforeSend: () => {
                            writes += caller.hasLeft ? 0 : 1;
                            return !caller.hasLeft;
                        },
                    })
                ).then(attempt => attempt.end).then(resolve));
        });
    });
    client.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    assert.equal([(await end).kind, writes], ["callerLeft", 0]);
    pool.close();
    [upstream, front].forEach(server => server.close());
});

test.run();
