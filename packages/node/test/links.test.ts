/**
 * Guards against a fleet whose links grow with the square of the VMs. When 195 VMs start at once, each VM that joins
 * causes a new assignment of shards, so that most VMs own engines for a moment. Without the limits tested here each of
 * them opens links to all 194 others, each of the others opens a link back, and none of the links is closed again.
 */
import { LinkClient, resolveLinkLimits } from "@radishreel/wire";
import { setImmediate as waitTurn } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { HubMonitor } from "../src/links/hub.js";
import { type PeerMessage, peerMessageSchema } from "../src/links/messages.js";
import { Peers } from "../src/links/peers.js";
import { type KnownMember, listDesiredLinks } from "../src/links/topology.js";
import { createSilentLog } from "./fixtures.js";

const dataCentres = 6;

function createMembers(count: number): KnownMember[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `vm${String(index).padStart(3, "0")}`,
        address: `10.0.${index >> 8}.${index & 255}:1`,
        dataCentre: `dc${index % dataCentres}`,
    }));
}

function countDesired(members: KnownMember[], index: number, isHub: boolean): number {
    const { id, dataCentre } = members[index]!;
    const others = members.filter(member => member.id !== id);
    return listDesiredLinks({ self: { id: id!, dataCentre: dataCentre! }, members: others, isHub }).size;
}

for (const count of [30, 100, 195, 374]) {
    test(`among ${count} VMs, a VM without engines keeps 2 links and a possible reader of the store 12`, () => {
        const members = createMembers(count);
        assert.is(countDesired(members, count - 1, false), 2);
        assert.is(countDesired(members, 0, false), 2 * dataCentres);
        assert.is(countDesired(members, count - 1, true), count - 1);
    });
}

test("13 VMs form a full mesh", () => {
    const members = createMembers(13);
    assert.is(countDesired(members, 12, false), 12);
});

test("a VM keeps links to seeds until their names are known", () => {
    const members = [...createMembers(30), { id: undefined, address: "10.9.9.9:1" }];
    const desired = listDesiredLinks({ self: { id: "vm999", dataCentre: "dc0" }, members, isHub: false });
    assert.ok(desired.has("10.9.9.9:1"));
});

test("a VM that owns engines only for short assignments during startup does not link to all others", () => {
    const hub = new HubMonitor({ startedAt: 0 });
    const linked: number[] = [];
    for (let now = 0; now < 3000; now += 250) {
        // Another VM joins every few milliseconds, and each new assignment gives this VM some shards or none.
        if (hub.update(now % 750 < 500, now)) {
            linked.push(now);
        }
    }
    assert.equal(linked, []);
    assert.not(hub.update(true, 3000));
    assert.ok(hub.update(true, 3800));
    assert.not(hub.update(false, 4000));
});

test("a VM that has run for long links to all others as soon as it owns engines", () => {
    const hub = new HubMonitor({ startedAt: 0 });
    assert.not(hub.update(false, 9000));
    assert.ok(hub.update(true, 9250));
});

interface LinkedVm {
    readonly id: string;
    readonly address: string;
    readonly peers: Peers;
    readonly received: { readonly from: string; readonly message: PeerMessage; }[];
    readonly lost: string[];
    starts: number;
}

/** VMs with links over the loopback interface, and a clock that the test sets. */
class LinkedFleet {
    now = 0;
    readonly vms: LinkedVm[] = [];

    async start(id: string, incarnation = 1): Promise<LinkedVm> {
        const self = { id, role: "node" as const, dataCentre: "z", incarnation, address: "" };
        const received: LinkedVm["received"] = [];
        const lost: string[] = [];
        const peers = new Peers({
            self,
            secret: "secret",
            host: "127.0.0.1",
            port: 0,
            log: createSilentLog(() => this.now),
            readTime: () => this.now,
            onFrame: () => {},
            onBytes: () => {},
            createInitialMessages: () => [],
            onMessage: (from, message) => void received.push({ from, message }),
            onStart: () => {
                vm.starts += 1;
            },
            onClose: other => void lost.push(other),
        });
        self.address = `127.0.0.1:${await peers.start()}`;
        const vm: LinkedVm = { id, address: self.address, peers, received, lost, starts: 0 };
        this.vms.push(vm);
        return vm;
    }

    /** Adds all VMs as members of each other. */
    sendMembers(): void {
        for (const vm of this.vms) {
            for (const { id, address } of this.vms) {
                if (id !== vm.id) {
                    vm.peers.addPeer({ id, address, dataCentre: "z" });
                }
            }
        }
    }

    stop(): void {
        for (const { peers } of this.vms) {
            peers.stop();
        }
    }
}

async function createFleet(count: number): Promise<LinkedFleet> {
    const fleet = new LinkedFleet();
    for (let index = 0; index < count; index += 1) {
        await fleet.start(`vm${String(index).padStart(2, "0")}`);
    }
    fleet.sendMembers();
    // While the VMs knew few others, they formed a full mesh; the links left from then are closed here.
    fleet.now = 20_000;
    for (const { peers } of fleet.vms) {
        peers.expireUnused();
    }
    return fleet;
}

async function waitUntil(isDone: () => boolean): Promise<void> {
    while (!isDone()) {
        await waitTurn();
    }
}

test("an owner among 20 VMs and another VM send in both directions on one link, and detect its loss", async () => {
    const fleet = await createFleet(20);
    const owner = fleet.vms[10]!;
    const other = fleet.vms[15]!;
    owner.peers.setHub(true);
    await waitUntil(() => owner.peers.listConnected().length === 19 && other.peers.isConnected(owner.id));
    assert.is(other.peers.countOpened(), 2, "number of links that a VM without engines has opened");
    assert.ok(owner.peers.send(other.id, { type: "leaving" }));
    assert.ok(other.peers.send(owner.id, { type: "leaving" }));
    await waitUntil(() => owner.received.length > 0 && other.received.length > 0);
    assert.is(other.received[0]!.from, owner.id);
    assert.is(owner.received[0]!.from, other.id);
    assert.is(other.starts >= 1 && owner.starts >= 19, true, "each VM has learned of the start of the other");
    owner.peers.stop();
    await waitUntil(() => other.lost.includes(owner.id));
    assert.not(other.peers.isConnected(owner.id));
    fleet.stop();
});

test("VMs whose link opening is paused during the first start open no links until they know all members", async () => {
    const fleet = new LinkedFleet();
    for (let index = 0; index < 20; index += 1) {
        (await fleet.start(`vm${String(index).padStart(2, "0")}`)).peers.pauseOpening();
    }
    fleet.sendMembers();
    assert.equal(fleet.vms.map(({ peers }) => peers.countOpened()), fleet.vms.map(() => 0));
    for (const { peers } of fleet.vms) {
        peers.resumeOpening();
    }
    assert.equal(fleet.vms.map(({ peers }) => peers.countOpened()), fleet.vms.map(() => 2));
    fleet.stop();
});

test("a VM that no longer owns engines closes its links after they have been idle", async () => {
    const fleet = await createFleet(20);
    const owner = fleet.vms[10]!;
    const user = fleet.vms[15]!;
    const idle = fleet.vms[16]!;
    owner.peers.setHub(true);
    await waitUntil(() => owner.peers.listConnected().length === 19);
    owner.peers.setHub(false);
    fleet.now = 29_000;
    owner.peers.expireUnused();
    assert.is(owner.peers.countOpened(), 19, "links that were idle for less than the limit stay open");
    owner.peers.send(user.id, { type: "leaving" });
    fleet.now = 31_000;
    owner.peers.expireUnused();
    assert.is(owner.peers.countOpened(), 3, "the links to two neighbours and to the VM that was sent a message");
    await waitUntil(() => idle.lost.includes(owner.id));
    assert.not(idle.peers.isConnected(owner.id));
    assert.ok(owner.peers.isConnected(user.id));
    fleet.stop();
});

test("an owner that opens a link to a new process of a VM learns its incarnation", async () => {
    const fleet = await createFleet(20);
    const owner = fleet.vms[10]!;
    const first = fleet.vms[15]!;
    owner.peers.setHub(true);
    await waitUntil(() => owner.peers.listConnected().length === 19);
    first.peers.stop();
    await waitUntil(() => owner.lost.includes(first.id));
    const second = await fleet.start(first.id, 2);
    owner.peers.addPeer({ id: second.id, address: second.address, dataCentre: "z" });
    await waitUntil(() => owner.peers.isConnected(second.id));
    assert.is(owner.peers.findIncarnation(second.id), 2);
    fleet.stop();
});

test("a VM of which seeds, other VMs or its own process name no usable address ends no process", async () => {
    const fleet = new LinkedFleet();
    const first = await fleet.start("vm00");
    for (const address of ["vm01", "vm01:", "vm01:65536", "vm01:1e9", "vm\ufffd:1", ":1", ""]) {
        first.peers.addPeer({ id: undefined, address });
    }
    assert.is(first.peers.countMembers(), 0);
    const second = await fleet.start("vm01");
    const link = new LinkClient<PeerMessage>({
        address: first.address,
        self: () => ({ id: "vm02", role: "node", dataCentre: "z", incarnation: 1, address: "vm02:99999" }),
        secret: "secret",
        schema: peerMessageSchema,
        limits: resolveLinkLimits(),
        events: { onOpen: opened => opened.send({ type: "leaving" }), onMessage: () => {}, onClose: () => {} },
    });
    link.start();
    await waitUntil(() => first.received.length > 0);
    first.peers.addPeer({ id: second.id, address: second.address, dataCentre: "z" });
    await waitUntil(() => first.peers.isConnected(second.id));
    assert.is(first.peers.countMembers(), 1);
    link.stop();
    fleet.stop();
});

test.run();
