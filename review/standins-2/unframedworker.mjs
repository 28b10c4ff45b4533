// Stand-in for a model worker, as a process of its own. Its streams have neither a length nor chunks, and end with their
// connections. It tells its parent its address, and each request that it runs.
import { createServer } from "node:http";
import { listen, readBody, wait } from "./net.mjs";

const { id, model, events, firstMs, gapMs } = JSON.parse(process.argv[2]);

/** Whether the worker says in all its responses that it leaves. */
let isLeaving = false;

function createReport() {
    return {
        stage: "both",
        models: [{ name: model, version: 1, adapters: [] }],
        busy: false,
        sequence: 0,
        queued: 0,
        active: 0,
        "kv-used": 0,
        "kv-total": 245_433,
        handles: 0,
    };
}

async function sendStream(request, socket) {
    const requestId = request.headers["x-request-id"];
    process.send({ kind: "run", id: requestId, worker: id, at: Date.now() });
    await wait(firstMs);
    socket.write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
            + (isLeaving ? "Server-Leaving: 1\r\n" : "")
            + `X-Request-Id: ${requestId}\r\nX-Response-Signature: signature.${id}.${requestId}\r\n\r\n`,
    );
    for (let event = 1; event <= events && !socket.destroyed; event++) {
        socket.write(`id: ${event}\ndata: ${"t".repeat(40)}\n\n`);
        await wait(gapMs);
    }
    socket.end();
}

async function receive(request, response) {
    if (await readBody(request) === undefined) {
        return;
    }
    if (isLeaving) {
        response.setHeader("Server-Leaving", "1");
    }
    const expected = request.headers["x-expect-instance"];
    if (expected !== undefined && expected !== id) {
        response.writeHead(421, { "X-Instance-Id": id, "X-Not-Executed": "1" }).end();
        return;
    }
    switch (request.url) {
        case "/v1/report":
            response.writeHead(200).end(JSON.stringify(createReport()));
            return;
        case "/v1/order":
            // The traffic of the case needs no order.
            response.writeHead(400, { "X-Not-Executed": "1" }).end();
            return;
        default:
            await sendStream(request, response.socket);
    }
}

const server = createServer((request, response) => void receive(request, response));
process.send({ kind: "listening", port: await listen(server) });
process.on("message", () => {
    isLeaving = true;
});
process.on("disconnect", () => process.exit(0));
