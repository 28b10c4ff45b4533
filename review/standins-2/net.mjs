// Helpers for loopback listeners and HTTP bodies.
import { createServer } from "node:net";

/** Host of the store and of the workers. */
export const host = "127.0.0.1";

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Starts a server and returns its port. */
export function listen(server, port = 0, address = host) {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, address, () => resolve(server.address().port));
    });
}

/** Finds a port that is free at several addresses. */
export async function findFreePort(addresses) {
    for (;;) {
        const servers = [];
        try {
            let port = 0;
            for (const address of addresses) {
                const server = createServer();
                port = await listen(server, port, address);
                servers.push(server);
            }
            return port;
        }
        catch {
            // Another process has the port at one of the addresses.
        }
        finally {
            await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
        }
    }
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
