/** Guards against responses that a planned stop cuts off although nothing runs any more. */
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { readNow } from "../src/clock.js";
import { DecisionLog } from "../src/decisions.js";
import { startCallerListener } from "../src/listeners.js";
import { CallerConnections } from "../src/requests/callerconnections.js";
import { runPlannedStop } from "../src/stop.js";

const bodyBytes = 16 * 1024 * 1024;

/** When the listener closes and when the process ends, in milliseconds from the stop. */
const closesMs = 50;
const endsMs = 2000;

/** More than the buffers of a connection hold. */
const body = Buffer.alloc(bodyBytes, "x");

/** Starts a listener that responds to each request with a large body, and sends a request that nobody reads. */
async function startUnreadResponse(): Promise<{ readonly socket: Socket; readonly stop: () => Promise<void>; }> {
    const server = createServer();
    const callerConnections = new CallerConnections(readNow);
    server.on("connection", socket => callerConnections.add(socket));
    let hasEnded = (): void => {};
    const ended = new Promise<void>(resolve => {
        hasEnded = resolve;
    });
    await startCallerListener(
        server,
        { host: "127.0.0.1", port: 0 },
        caller =>
            callerConnections.receive(caller, () => {
                caller.startResponse(200, ["Content-Length", String(bodyBytes)]);
                caller.endResponse(body);
                hasEnded();
            }),
    );
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    socket.pause();
    await once(socket, "connect");
    socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    await ended;
    const sink = { writableLength: 0, write: () => true };
    const stop = (): Promise<void> => {
        const now = readNow();
        return runPlannedStop({
            times: { closesAt: now + closesMs, endsAt: now + endsMs, cutsAt: now + endsMs },
            log: new DecisionLog({ program: "radishreel-node", vm: "front-1", sink, readTime: readNow }),
            readTime: readNow,
            peers: { broadcast: () => {} },
            serving: { openCount: 0, closeAfterResponses: () => {} },
            ownEntry: { append: () => {} },
            ownership: undefined,
            reception: { connections: callerConnections, refuseWaiting: () => {}, endUnanswered: () => {} },
            callerServer: server,
            tunnels: { pause: () => {}, count: 0 },
        });
    };
    return { socket, stop };
}

test("a planned stop sends a response to its end that a slow caller has not read yet", async () => {
    const { socket, stop } = await startUnreadResponse();
    const stopped = stop();
    let bytes = 0;
    let head = "";
    socket.on("data", (chunk: Buffer) => {
        head ||= chunk.toString("latin1", 0, 1000);
        bytes += chunk.length;
    });
    socket.on("error", () => {});
    setTimeout(() => socket.resume(), closesMs + 100);
    socket.pause();
    await once(socket, "close");
    await stopped;
    assert.is(bytes - head.indexOf("\r\n\r\n") - 4, bodyBytes);
});

test("a planned stop ends when its grace time is over although a caller reads nothing", async () => {
    const { socket, stop } = await startUnreadResponse();
    await stop();
    socket.destroy();
});

test.run();
