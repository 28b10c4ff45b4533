// Stand-ins for the platform's workers: a sound one, and one that can be in trouble.
import { createServer } from "node:http";
import { host, listen, readBody, wait } from "./net.mjs";

/** Bytes that a worker in trouble writes at a time. */
const burstBytes = 16 * 1024;

/** A worker of a plain service or of a service with streams. It responds as PROTOCOL.md describes. */
export class Worker {
    /** Requests that the worker has run. */
    runs = [];
    /** Whether the bodies of responses have no end, and in pieces of how many bytes they come. */
    endlessPieceBytes;
    /** Bytes of the bodies without end. */
    endlessBytes = 0;

    /** @param answer Sends a sound response: `(request, response, headers) => Promise`; `models`: what the worker holds. */
    constructor({ id, answer, models = [] }) {
        Object.assign(this, { id, answer, models });
    }

    /** Lets the bodies of all further responses have no end. */
    beginTrouble(pieceBytes) {
        this.endlessPieceBytes = pieceBytes;
    }

    endTrouble() {
        this.endlessPieceBytes = undefined;
    }

    async start() {
        this.server = createServer((request, response) => void this.receive(request, response));
        this.server.keepAliveTimeout = 10_000;
        this.address = `${host}:${await listen(this.server)}`;
    }

    async receive(request, response) {
        const expected = request.headers["x-expect-instance"];
        if (await readBody(request) === undefined) {
            return;
        }
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "X-Instance-Id": this.id, "X-Not-Executed": "1" }).end();
            return;
        }
        if (request.url === "/v1/report") {
            response.writeHead(200).end(JSON.stringify(this.createReport()));
            return;
        }
        if (request.url === "/v1/order") {
            // The traffic of these cases needs no order.
            response.writeHead(400, { "X-Not-Executed": "1" }).end();
            return;
        }
        const id = request.headers["x-request-id"];
        const run = { id, worker: this.id, at: Date.now(), isEndless: this.endlessPieceBytes !== undefined };
        this.runs.push(run);
        const headers = { "X-Request-Id": id, "X-Response-Signature": `signature.${this.id}.${id}` };
        if (run.isEndless) {
            this.sendEndless(response, headers, request);
            return;
        }
        await this.answer(request, response, headers);
    }

    createReport() {
        const { models } = this;
        return {
            stage: "both",
            models,
            busy: false,
            sequence: 0,
            queued: 0,
            active: 0,
            "kv-used": 0,
            "kv-total": 245_433,
            handles: 0,
        };
    }

    /** Sends a body that does not end before the caller closes: chunks of one piece each. */
    sendEndless(response, headers, request) {
        const type = request.url.startsWith("/stream/") ? { "Content-Type": "text/event-stream" } : {};
        response.writeHead(200, { ...headers, ...type, "Transfer-Encoding": "chunked" });
        response.flushHeaders();
        const size = this.endlessPieceBytes;
        const piece = `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`;
        const burst = Buffer.from(piece.repeat(Math.ceil(burstBytes / piece.length)));
        const { socket } = response;
        const write = () => {
            while (!socket.destroyed) {
                this.endlessBytes += burst.length;
                if (!socket.write(burst)) {
                    socket.once("drain", write);
                    return;
                }
            }
        };
        write();
    }
}

/** Creates the sound answer of a plain service: 800 bytes after some work. */
export function createPlainAnswer(workMs) {
    return async (_request, response, headers) => {
        await wait(workMs);
        response.writeHead(200, headers).end("r".repeat(800));
    };
}

/** Creates the sound answer of a service with streams: events with increasing ids. */
export function createStreamAnswer({ events, firstMs, gapMs, pieceBytes }) {
    return async (_request, response, headers) => {
        await wait(firstMs);
        response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
        for (let event = 1; event <= events && !response.destroyed; event++) {
            const start = `id: ${event}\ndata: `;
            response.write(`${start}${"t".repeat(pieceBytes - start.length - 2)}\n\n`);
            await wait(gapMs);
        }
        response.end();
    };
}
