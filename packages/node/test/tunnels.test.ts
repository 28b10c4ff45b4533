import { DirectPaths, FleetView, Relays } from "@radishreel/fleet";
import { createServer, request as openRequest, type Server } from "node:http";
import { type AddressInfo, Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { DecisionLog } from "../src/decisions.js";
import { checkListening, DirectConnector, Tunnels } from "../src/paths/index.js";
import { TunnelConnector } from "../src/paths/tunnelconnector.js";
import { createAuthorization, TunnelServer, tunnelStatus, upstreamHeader } from "../src/paths/tunnelserver.js";
import { createUpstream } from "./fixtures.js";

const { forbidden, opened, refused, unavailable, unreachable } = tunnelStatus;

function startListening(server: Server): Promise<void> {
    return new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
}

function readAddress(server: Server): string {
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts a VM that answers each request for a tunnel with a status. */
async function startRelay(chooseStatus: (upstream: string) => number): Promise<Server> {
    const relay = createServer().on("connect", ({ headers }, socket) => {
        const status = chooseStatus(String(headers[upstreamHeader]));
        socket.end(`HTTP/1.1 ${status} Tunnel\r\nContent-Length: 0\r\n\r\n`);
    });
    await startListening(relay);
    return relay;
}

test("an upstream that a relay does not reach takes no other upstream's tunnel through that relay", async () => {
    const relay = await startRelay(upstream => upstream === "silent" ? unreachable : opened);
    const address = readAddress(relay);
    const connector = new TunnelConnector({
        secret: "secret",
        paths: new DirectPaths(),
        relays: new Relays("a"),
        direct: { mayReuse: () => true, open: () => Promise.reject(new Error("no path")) },
        listRelays: () => [{ vm: "b", dataCentre: "a", address }],
        countUpstreams: () => 9,
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
    const relay = await startRelay(() => unreachable);
    const address = readAddress(relay);
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
        countUpstreams: () => 9,
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

async function findFreePort(): Promise<number> {
    const server = createServer();
    await startListening(server);
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}

interface RefusalCase {
    /** Statuses of the other VMs, in the order in which they are asked. */
    readonly statuses: readonly number[];
    /** How direct connections of this VM fail. */
    readonly code?: string;
    readonly failedUpstreams?: number;
}

/** Probes an upstream twice at once and once more, which other VMs and this one fail to reach. */
async function listProbeResults({ statuses, code = "ECONNREFUSED", failedUpstreams = 0 }: RefusalCase) {
    const servers = await Promise.all(statuses.map(status => startRelay(() => status)));
    const paths = new DirectPaths();
    for (let index = 0; index < failedUpstreams; index += 1) {
        paths.recordFailed(`other-${index}`, "refused", 0);
    }
    const connector = new TunnelConnector({
        secret: "secret",
        paths,
        relays: new Relays("a"),
        direct: {
            mayReuse: () => true,
            open: ({ upstream }) => {
                paths.recordFailed(upstream, code === "ECONNREFUSED" ? "refused" : "silent", 0);
                return Promise.reject(Object.assign(new Error("no path"), { code }));
            },
        },
        listRelays: () =>
            servers.map((server, index) => ({
                vm: `b${index}`,
                dataCentre: "a",
                address: readAddress(server),
            })),
        countUpstreams: () => 9,
        readTime: () => 0,
        onTunnel: () => {},
    });
    const probe = () => checkListening(connector, { id: "u", address: "127.0.0.1:1" });
    const results = [...await Promise.all([probe(), probe()]), await probe()];
    servers.forEach(server => server.close());
    return results;
}

test("other VMs that know nothing of an upstream do not hide that this VM is refused", async () => {
    for (const statuses of [[forbidden], [forbidden, forbidden], [unavailable], [forbidden, unavailable]]) {
        assert.equal(await listProbeResults({ statuses }), ["refused", "refused", "refused"], statuses.join());
    }
});

test("a VM that knows nothing of an upstream does not hide that another one is refused", async () => {
    for (const statuses of [[refused, forbidden], [forbidden, refused], [refused, unreachable]]) {
        const results = await listProbeResults({ statuses, code: "ENETUNREACH" });
        assert.is(results[0], "refused", statuses.join());
    }
});

test("a refusal proves nothing if this VM is cut off, or others have not reached the upstream either", async () => {
    const silent = ["silent", "silent", "silent"];
    assert.equal(await listProbeResults({ statuses: [unreachable] }), silent);
    assert.equal(await listProbeResults({ statuses: [forbidden], failedUpstreams: 5 }), silent);
    assert.equal(await listProbeResults({ statuses: [forbidden], code: "ENETUNREACH" }), silent);
});

test("upstreams that were removed and have ended do not make a VM believe that it is cut off", async () => {
    const lines: { upstream: string; failed: number; }[] = [];
    const sink = {
        writableLength: 0,
        write: (line: string) => lines.push(JSON.parse(line) as typeof lines[number]) > 0,
    };
    const view = new FleetView();
    const address = "127.0.0.1:1";
    view.updateUpstream(createUpstream("known", { address }), 0);
    const tunnels = new Tunnels({
        dataCentre: "a",
        address: undefined,
        secret: "secret",
        view,
        peers: () => ({ listMembers: () => [], listHandoverTargets: () => [] }),
        log: new DecisionLog({ program: "p", vm: "v", sink, readTime: () => 0 }),
        readTime: () => 0,
        openSocket: () => {
            const socket = new Socket();
            setImmediate(() => socket.destroy(Object.assign(new Error("refused"), { code: "ECONNREFUSED" })));
            return socket;
        },
        onOutcome: () => {},
    });
    for (const id of ["removed-1", "removed-2", "known"]) {
        assert.is(await tunnels.checkListening(createUpstream(id, { address })), "refused");
    }
    assert.equal(lines.map(({ upstream, failed }) => [upstream, failed]), [["known", 1]]);
});

test("a VM that an upstream refused long ago does not tell others that it has ended", async () => {
    const upstream = createServer();
    await startListening(upstream);
    const address = readAddress(upstream);
    const paths = new DirectPaths();
    paths.recordFailed("u", "refused", 0);
    let now = 0;
    const server = new TunnelServer({
        secret: "secret",
        paths,
        connector: new DirectConnector({ onOutcome: () => paths.recordOpened("u") }),
        isKnown: () => true,
        countUpstreams: () => 9,
        readTime: () => now,
    });
    const port = await findFreePort();
    await server.start({ host: "127.0.0.1", port });
    const sendConnect = (): Promise<number | undefined> =>
        new Promise((resolve, reject) => {
            const headers = { [upstreamHeader]: "u", "Proxy-Authorization": createAuthorization("secret") };
            const request = openRequest({ host: "127.0.0.1", port, method: "CONNECT", path: address, headers });
            request.once("connect", (response, socket) => {
                socket.destroy();
                resolve(response.statusCode);
            });
            request.once("error", reject);
            request.end();
        });
    const first = await sendConnect();
    now = 1000;
    assert.equal([first, await sendConnect()], [refused, opened]);
    server.stop();
    upstream.close();
});

test.run();
