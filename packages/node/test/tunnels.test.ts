import { DirectPaths, Relays } from "@radishreel/fleet";
import { createServer } from "node:http";
import { type AddressInfo, Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { TunnelConnector } from "../src/paths/tunnelconnector.js";
import { tunnelStatus, upstreamHeader } from "../src/paths/tunnelserver.js";

test("an upstream that a relay does not reach takes no other upstream's tunnel through that relay", async () => {
    const relay = createServer().on("connect", ({ headers }, socket) => {
        const status = headers[upstreamHeader] === "silent" ? tunnelStatus.unreachable : tunnelStatus.opened;
        socket.end(`HTTP/1.1 ${status} Tunnel\r\nContent-Length: 0\r\n\r\n`);
    });
    await new Promise<void>(resolve => relay.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(relay.address() as AddressInfo).port}`;
    const connector = new TunnelConnector({
        secret: "secret",
        paths: new DirectPaths(),
        relays: new Relays("a"),
        direct: { mayReuse: () => true, open: () => Promise.reject(new Error("no path")) },
        listRelays: () => [{ vm: "b", dataCentre: "a", address }],
        readTime: () => 0,
        onTunnel: () => {},
    });
    const openVia = async (upstream: string): Promise<string | undefined> => {
        try {
            const { socket, via } = await connector.open(
                { upstream, address: "127.0.0.1:1" },
                new AbortController().signal,
            );
            socket.destroy();
            return via;
        }
        catch {
            return undefined;
        }
    };
    assert.equal([await openVia("silent"), await openVia("other")], [undefined, "b"]);
    relay.close();
});

test("an upstream that no VM has reached is connected to at once when it answers again", async () => {
    const relay = createServer().on("connect", (_request, socket) => {
        socket.end(`HTTP/1.1 ${tunnelStatus.unreachable} Tunnel\r\nContent-Length: 0\r\n\r\n`);
    });
    await new Promise<void>(resolve => relay.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(relay.address() as AddressInfo).port}`;
    const paths = new DirectPaths();
    let now = 0;
    let isSilent = true;
    const connector = new TunnelConnector({
        secret: "secret",
        paths,
        relays: new Relays("a"),
        direct: {
            mayReuse: () => true,
            open: ({ upstream }) => {
                if (isSilent) {
                    paths.recordFailed(upstream, "silent", now);
                    return Promise.reject(new Error("connect timeout"));
                }
                paths.recordOpened(upstream);
                return Promise.resolve({ socket: new Socket() });
            },
        },
        listRelays: () => [{ vm: "b", dataCentre: "a", address }],
        readTime: () => now,
        onTunnel: () => {},
    });
    const open = () => connector.open({ upstream: "u", address: "127.0.0.1:1" }, new AbortController().signal);
    const first = await open().catch(() => undefined);
    isSilent = false;
    now = 10;
    const second = await open().catch(() => undefined);
    assert.equal([first === undefined, second === undefined], [true, false]);
    relay.close();
});

test.run();
