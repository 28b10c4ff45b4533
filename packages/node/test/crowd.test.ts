/**
 * The failure: on days of 91 VMs and 98 engines callers got too little, those of long prompts least. Nothing was broken; the
 * VMs had no time. Each owner of engines holds a link each way with every other VM, and each end of each link had a timer and
 * a heartbeat of its own every 400 ms, so that an owner was woken over a thousand times a second before it had one request.
 */
import { setImmediate as waitTurn } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Peers } from "../src/links/peers.js";
import { createSilentLog } from "./fixtures.js";

const others = 90;
const heartbeatMs = 400;

/** Timers that are called by hand, in place of those of the runtime. */
class HandTimers {
    private readonly timers = new Map<object, { readonly run: () => void; readonly ms: number; dueAt: number; }>();
    private readonly usual = { setInterval, clearInterval, now: performance.now.bind(performance) };
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
        globalThis.setInterval = this.usual.setInterval;
        globalThis.clearInterval = this.usual.clearInterval;
        performance.now = this.usual.now;
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
        createGreeting: () => [],
        onMessage: () => {},
        onStart: () => {},
        onClose: () => {},
    });
    self.address = `127.0.0.1:${await peers.start()}`;
    return { peers, address: self.address };
}

test("an owner of engines among 91 VMs is woken by one timer, and sends each at most 4 heartbeats in 1.2 s", async () => {
    const timers = new HandTimers();
    timers.start();
    let sent = 0;
    let heard = 0;
    const { peers: owner, address } = await startPeers("owner", direction => {
        sent += direction === "sent" ? 1 : 0;
    });
    const crowd: Peers[] = [];
    owner.setHub(true);
    for (let index = 0; index < others; index += 1) {
        const { peers } = await startPeers(`vm${index}`, direction => {
            heard += direction === "received" ? 1 : 0;
        });
        crowd.push(peers);
        peers.addPeer({ id: "owner", address });
    }
    const isLinked = (): boolean =>
        owner.listConnected().length === others && crowd.every(peers => peers.isConnected("owner"));
    while (!isLinked()) {
        await waitTurn();
    }
    sent = 0;
    for (let tick = 0; tick < 3; tick += 1) {
        timers.advance(heartbeatMs);
    }
    const sentAtRest = sent;
    while (heard < sentAtRest) {
        await waitTurn();
    }
    const timersOfAll = timers.count;
    for (const peers of [owner, ...crowd]) {
        peers.stop();
    }
    timers.stop();
    assert.ok(timersOfAll <= others + 1, `${timersOfAll} timers on ${others + 1} VMs`);
    assert.ok(sentAtRest <= others * 4, `${sentAtRest} heartbeats in 1.2 s to ${others} VMs`);
});

test.run();
