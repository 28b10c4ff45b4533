import { DirectPaths, Relays } from "@radishreel/fleet";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
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

test.run();
