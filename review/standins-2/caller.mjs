// Sends requests as the platform's clients do, and reports what they receive.
import { Agent, request as openRequest } from "node:http";

let lastId = 0;

/** Finds the id of the last event that begins in a part of a stream; undefined if none does. */
function findLastEvent(chunk) {
    const id = chunk.toString("latin1").match(/id: (\d+)/g)?.at(-1)?.slice("id: ".length);
    return id === undefined ? undefined : Number(id);
}

/** Creates an agent that keeps one connection open for many requests. */
export function createKeptConnection() {
    return new Agent({ keepAlive: true, maxSockets: 1 });
}

/**
 * Sends one request, and waits for its complete response for as long as the client does.
 * @param agent A kept connection; undefined for a new one.
 * @returns What the client has received; `status` 0 if there was no response.
 */
export function sendRequest(vm, { path, method = "POST", headers = {}, budgetMs, agent = false }) {
    lastId += 1;
    const id = `request-${lastId}`;
    const sentAt = Date.now();
    const allHeaders = { Host: "a.example", "X-Request-Id": id, "X-Time-Budget": String(budgetMs), ...headers };
    return new Promise(resolve => {
        const result = {
            id,
            vm: vm.name,
            path,
            sentAt,
            status: 0,
            bytes: 0,
            isWhole: false,
            lastEvent: 0,
            ms: 0,
            why: undefined,
        };
        const finish = why => {
            clearTimeout(timer);
            resolve({ ...result, ms: Date.now() - sentAt, why });
        };
        const options = { host: vm.host, port: vm.ports.callers, path, method, headers: allHeaders, agent };
        const request = openRequest(options, response => {
            result.status = response.statusCode;
            response.on("data", chunk => {
                result.bytes += chunk.length;
                result.lastEvent = findLastEvent(chunk) ?? result.lastEvent;
            });
            response.on("error", () => {});
            response.on("close", () => {
                result.isWhole = response.complete;
                finish(response.complete ? undefined : "the response was cut off");
            });
        });
        const timer = setTimeout(() => {
            finish("the client gave up");
            request.destroy();
        }, budgetMs);
        request.on("error", error => finish(error.code ?? error.message));
        request.end();
    });
}
