/** Guards against tunnels that pass on the reset of one side as an orderly end. */
import { DirectPaths } from "@radishreel/fleet";
import { hasOrderlyEnd } from "@radishreel/wire";
import { once } from "node:events";
import { request as openRequest } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DirectConnector } from "../src/paths/index.js";
import { createAuthorization, TunnelServer, upstreamHeader } from "../src/paths/tunnelserver.js";

/** How a side ends its connection in the step in which it sends bytes: the tunnel finds both together. */
const endConnection = {
    "is reset": (socket: Socket) => socket.resetAndDestroy(),
    "ends in order": (socket: Socket) => socket.end(),
};

/** Tunnels that are reset, one after the other. */
const resetCount = 20;

/** Resolves with how a connection ends. */
function waitEnd(socket: Socket): Promise<"ended" | "reset"> {
    return new Promise(resolve => {
        socket.on("error", () => resolve("reset")).on("end", () => resolve(hasOrderlyEnd(socket) ? "ended" : "reset"))
            .resume();
    });
}

async function findFreePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}

/** Runs an action with both ends of a tunnel: of the VM that asked for it, and of the upstream. */
async function runTunnel(act: (vm: Socket, upstream: Socket) => Promise<void>): Promise<void> {
    const upstreamServer = createServer();
    await new Promise<void>(resolve => upstreamServer.listen(0, "127.0.0.1", resolve));
    const accepted = once(upstreamServer, "connection");
    const tunnels = new TunnelServer({
        secret: "secret",
        paths: new DirectPaths(),
        connector: new DirectConnector(),
        isKnown: () => true,
        countUpstreams: () => 9,
        readTime: () => 0,
    });
    const port = await findFreePort();
    await tunnels.start({ host: "127.0.0.1", port });
    const request = openRequest({
        host: "127.0.0.1",
        port,
        method: "CONNECT",
        path: `127.0.0.1:${(upstreamServer.address() as AddressInfo).port}`,
        headers: { [upstreamHeader]: "u", "Proxy-Authorization": createAuthorization("secret") },
    });
    const opened = once(request, "connect");
    request.end();
    const [, vm] = await opened as [unknown, Socket];
    const [upstream] = await accepted as [Socket];
    await act(vm, upstream);
    vm.destroy();
    upstream.destroy();
    tunnels.stop();
    upstreamServer.close();
}

for (const [name, end] of Object.entries(endConnection)) {
    const expected = name === "is reset" ? "reset" : "ended";

    test(`a VM sees that an upstream behind a tunnel ${name} right behind its bytes`, () =>
        runTunnel(async (vm, upstream) => {
            const ended = waitEnd(vm);
            upstream.on("error", () => {}).write("bytes");
            end(upstream);
            assert.is(await ended, expected);
        }));

    test(`an upstream sees that a VM behind a tunnel ${name} right behind its bytes`, () =>
        runTunnel(async (vm, upstream) => {
            const ended = waitEnd(upstream);
            vm.on("error", () => {}).write("bytes");
            end(vm);
            assert.is(await ended, expected);
        }));
}

test("bytes of a VM that has reset its tunnel behind them do not reach the upstream", async () => {
    let reached = 0;
    for (let count = 0; count < resetCount; count++) {
        await runTunnel(async (vm, upstream) => {
            upstream.on("data", (bytes: Buffer) => reached += bytes.length);
            const ended = waitEnd(upstream);
            vm.on("error", () => {}).write("bytes");
            vm.resetAndDestroy();
            await ended;
        });
    }
    assert.is(reached, 0);
});

test.run();
