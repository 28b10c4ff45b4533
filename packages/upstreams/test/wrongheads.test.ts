/** Guards against bytes that are no HTTP/1.x response and pass for an answer of an upstream. */
import { test } from "uvu";
import * as assert from "uvu/assert";
import { type ExchangeEnd, UpstreamConnections } from "../src/index.js";
import { ByteServer } from "./server.js";

const length = "Content-Length: 5\r\n";
const coding = "Transfer-Encoding: chunked\r\n";
const chunks = "5\r\nwhole\r\n0\r\n\r\n";
const lines = [
    "HTTP/1.1 000",
    "HTTP/1.1 600",
    "HTTP/1.1 999",
    "HTTP/2.0 200",
    "HTTP/0.9 200",
    "RTSP/1.0 200",
    "ICE/1.0 200",
];
const fields = [
    "X Long: a",
    "X\0Long: a",
    "X-Long: \0",
    "X-Long: a\r\n b",
    "Content-Length: 6",
    "Transfer-Encoding: chunked",
];

const wrong = [
    ...lines.map(line => `${line} Odd\r\n${length}\r\nwhole`),
    ...fields.map(field => `HTTP/1.1 200 OK\r\n${field}\r\n${length}\r\nwhole`),
    `HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/2.0 200 OK\r\n${length}\r\nwhole`,
    `HTTP/1.1 200 OK\r\n${coding}${coding}\r\n${chunks}`,
    `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n${chunks}`,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nwhole",
];

const right = [
    `HTTP/1.1 200 OK\r\n${length}\r\nwhole`,
    `HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.0 200 OK\r\n${length}\r\nwhole`,
    `HTTP/1.1 200 OK\r\n${coding}\r\n${chunks}`,
];

/** Sends a request. @returns How it ended, and the statuses of the heads that were received. */
async function sendRequest(response: string): Promise<{ end: ExchangeEnd; statuses: number[]; }> {
    const server = new ByteServer();
    server.plan = { point: "never", bytes: 0, response };
    const statuses: number[] = [];
    const exchange = new UpstreamConnections().open({
        address: await server.start(),
        method: "GET",
        path: "/",
        headers: {},
        body: undefined,
        silenceMs: 500,
        receiver: { receiveHead: status => statuses.push(status), receiveData: () => {} },
    });
    const end = await exchange.end;
    server.stop();
    return { end, statuses };
}

for (const response of wrong) {
    test(`no answer: ${JSON.stringify(response)}`, async () => {
        const { end, statuses } = await sendRequest(response);
        assert.equal(statuses, []);
        assert.is(end.kind === "broken" && end.phase === "waiting" && end.reason, "connectionLost");
    });
}

for (const response of right) {
    test(`an answer: ${JSON.stringify(response)}`, async () => {
        const { end, statuses } = await sendRequest(response);
        assert.equal({ kind: end.kind, statuses }, { kind: "answered", statuses: [200] });
    });
}

test.run();
