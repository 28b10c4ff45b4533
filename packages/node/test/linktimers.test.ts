/**
 * Guards against link timers that use up the processor time of an owner of engines. With 91 VMs and 98 engines, each
 * owner holds links with every other VM. If each end of each link has its own timer and sends a heartbeat every 400 ms,
 * an owner wakes over a thousand times a second without any request, and requests, most of all those with long prompts,
 * miss their latency target.
 */
import { setImmediate as waitTurn } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Peers } from "../src/links/peers.js";
import { createSilentLog } from "./fixtures.js";

const others = 90;
const heartbeatMs = 400;

/** Timers that are advanced by the test, in place of those of the runtime. */
class ManualTimers {
    private readonly timers = new Map<object, { readonly run: () => void; readonly ms: number; dueAt: number; }>();
    private readonly originals = { setInterval, clearInterval, now: performance.now.bind(performance) };
    private now = 1000;

    get count(): number {
        return this.timers.size;
    }

    start(): void {
        const set = (run: () => void, ms: number): object => {
            const handle = { unref: () => handle };
            this.timers.set(handle, { run, ms, dueAt: this.now + ms });
            return handle;
        };
        globalThis.setInterval = set as typeof setInterval;
        globalThis.clearInterval = handle => void this.timers.delete(handle as object);
        performance.now = () => this.now;
    }

    stop(): void {
        globalThis.setInterval = this.originals.setInterval;
        globalThis.clearInterval = this.originals.clearInterval;
        performance.now = this.originals.now;
    }

    advance(ms: number): void {
        this.now += ms;
        for (const timer of [...this.timers.values()]) {
            if (this.now >= timer.dueAt) {
                timer.dueAt = this.now + timer.ms;
                timer.run();
            }
        }
    }
}

/** Starts the links of one VM. */
async function startPeers(
    id: string,
    onFrame: (direction: string) => void,
): Promise<{ peers: Peers; address: string; }> {
    const self = { id, role: "node" as const, dataCentre: "z", incarnation: 1, address: "" };
    const peers = new Peers({
        self,
        secret: "secret",
        host: "127.0.0.1",
        port: 0,
        log: createSilentLog(() => 0),
        readTime: () => 0,
        onFrame,
        onBytes: () => {},
        createInitialMessages: () => [],
        onMessage: () => {},
        onStart: () => {},
        onClose: () => {},
    });
    self.address = `127.0.0.1:${await peers.start()}`;
    return { peers, address: self.address };
}

test("an owner among 91 VMs has one timer for all links and sends each VM at most 4 heartbeats in 1.2 s", async () => {
    const timers = new ManualTimers();
    timers.start();
    let sent = 0;
    let receivedCount = 0;
    const { peers: owner, address } = await startPeers("owner", direction => {
        sent += direction === "sent" ? 1 : 0;
    });
    const otherPeers: Peers[] = [];
    owner.setHub(true);
    for (let index = 0; index < others; index += 1) {
        const { peers } = await startPeers(`vm${index}`, direction => {
            receivedCount += direction === "received" ? 1 : 0;
        });
        otherPeers.push(peers);
        peers.addPeer({ id: "owner", address });
    }
    const isLinked = (): boolean =>
        owner.listConnected().length === others && otherPeers.every(peers => peers.isConnected("owner"));
    while (!isLinked()) {
        await waitTurn();
    }
    sent = 0;
    for (let tick = 0; tick < 3; tick += 1) {
        timers.advance(heartbeatMs);
    }
    const sentWhileIdle = sent;
    while (receivedCount < sentWhileIdle) {
        await waitTurn();
    }
    const timerCount = timers.count;
    for (const peers of [owner, ...otherPeers]) {
        peers.stop();
    }
    timers.stop();
    assert.ok(timerCount <= others + 1, `${timerCount} timers on ${others + 1} VMs`);
    assert.ok(sentWhileIdle <= others * 4, `${sentWhileIdle} heartbeats in 1.2 s to ${others} VMs`);
});

test.run();
