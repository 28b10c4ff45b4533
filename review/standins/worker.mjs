/** Stand-in for a sound worker of the platform: a server of a plain service, or a model engine. */
import { createServer } from "node:http";

async function readBody(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/** A worker. It records what reaches it in `runs` and `orders`. */
export class Worker {
    runs = [];
    runsById = new Map();
    orders = [];
    sequence = 0;
    adapters = new Map();
    workMs = 20;
    answerBytes = 800;
    events = 10;
    eventPauseMs = 50;
    /** Until when the worker's streams bring no event, in Unix milliseconds. */
    silentUntil = 0;
    /** Called with each run before the worker answers; a returned true means that the answer was given there. */
    onRun = () => false;
    server = createServer((request, response) => void this.receive(request, response));

    constructor({ id, service, zone = "z1", engine = undefined, version = "v1" }) {
        Object.assign(this, { id, service, zone, engine, version });
    }

    async start(host, port = 0) {
        this.server.keepAliveTimeout = 15_000;
        await new Promise(resolve => this.server.listen(port, host, resolve));
        this.address = `${host}:${this.server.address().port}`;
    }

    stop() {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** The worker's entry in the store. */
    createEntry(state = "ready") {
        return {
            service: this.service,
            address: this.address,
            zone: this.zone,
            version: this.version,
            slots: this.engine?.slots ?? 6,
            state,
            "cold-remaining-ms": 0,
            ...(this.engine === undefined ? {} : { stage: "both", models: this.listModels() }),
            sequence: this.sequence,
        };
    }

    listModels() {
        return [{
            name: this.engine.model,
            version: 1,
            adapters: [...this.adapters].map(([name, version]) => `${name}@${version}`),
        }];
    }

    async receive(request, response) {
        const expected = request.headers["x-expect-instance"];
        let body;
        try {
            body = await readBody(request);
        }
        catch {
            return;
        }
        if (expected !== undefined && expected !== this.id) {
            response.writeHead(421, { "X-Instance-Id": this.id }).end();
            return;
        }
        if (request.url === "/health") {
            response.writeHead(200, { "X-Instance-Id": this.id }).end();
            return;
        }
        if (request.url === "/v1/report") {
            this.sendJson(response, 200, {
                stage: "both",
                models: this.listModels(),
                busy: false,
                sequence: this.sequence,
                queued: 0,
                active: 0,
                "kv-used": 0,
                "kv-total": 200_000,
                handles: 0,
                coming: [],
            });
            return;
        }
        if (request.url === "/v1/order") {
            this.receiveOrder(JSON.parse(body.toString()), response);
            return;
        }
        await this.serve(request, body, response);
    }

    sendJson(response, status, value) {
        response.writeHead(status, { "Content-Type": "application/json", "X-Instance-Id": this.id })
            .end(JSON.stringify(value));
    }

    receiveOrder(order, response) {
        const entry = { at: Date.now(), ...order };
        this.orders.push(entry);
        if (order.precondition !== undefined && order.precondition !== this.sequence) {
            this.sendJson(response, 409, {});
            return;
        }
        if (order.adapter === undefined) {
            this.sendJson(response, 200, {});
            return;
        }
        if (order.op === "load") {
            if (this.adapters.get(order.adapter) === (order.version ?? 1)) {
                this.sendJson(response, 200, {});
                return;
            }
            this.sequence += 1;
            this.adapters.set(order.adapter, order.version ?? 1);
            this.sendJson(response, 202, {});
            return;
        }
        this.sequence += 1;
        this.adapters.delete(order.adapter);
        this.sendJson(response, 200, {});
    }

    async serve(request, body, response) {
        const id = request.headers["x-request-id"];
        const run = { at: Date.now(), id, method: request.method, path: request.url, bytes: body.length };
        this.runs.push(run);
        this.runsById.set(id, [...this.runsById.get(id) ?? [], run]);
        response.on("close", () => {
            run.endedAt = Date.now();
            run.isComplete = response.writableFinished;
        });
        if (this.onRun(run, request, response) === true) {
            return;
        }
        const headers = { "X-Request-Id": id, "X-Response-Signature": `sig.${id}`, "X-Instance-Id": this.id };
        if (this.engine === undefined) {
            await new Promise(resolve => setTimeout(resolve, this.workMs));
            response.writeHead(200, { ...headers, "Content-Length": this.answerBytes })
                .end(Buffer.alloc(this.answerBytes, "x"));
            return;
        }
        response.writeHead(200, { ...headers, "Content-Type": "text/event-stream", "X-Weight-Versions": "1" });
        const first = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let event = first; event <= this.events && !response.destroyed; event++) {
            await new Promise(resolve => setTimeout(resolve, this.eventPauseMs));
            while (Date.now() < this.silentUntil) {
                await new Promise(resolve => setTimeout(resolve, this.silentUntil - Date.now()));
            }
            response.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
        }
        response.end();
    }
}
