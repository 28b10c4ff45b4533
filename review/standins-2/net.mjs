// Helpers for loopback listeners and HTTP bodies.
import { createServer } from "node:net";

/** Host of every listener of the cases. */
export const host = "127.0.0.1";

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Starts a server and returns its port. */
export function listen(server, port = 0) {
    return new Promise(resolve => server.listen(port, host, () => resolve(server.address().port)));
}

/** Finds a free port. */
export async function findFreePort() {
    const server = createServer();
    const port = await listen(server);
    await new Promise(resolve => server.close(resolve));
    return port;
}

/** Reads a whole body; undefined if the sender disconnects before. */
export function readBody(message) {
    return new Promise(resolve => {
        const chunks = [];
        message.on("data", chunk => chunks.push(chunk));
        message.on("end", () => resolve(Buffer.concat(chunks)));
        message.on("error", () => resolve(undefined));
        message.on("close", () => resolve(undefined));
    });
}
