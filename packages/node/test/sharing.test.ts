import { type CrashReport, FleetView } from "@radishreel/fleet";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ClusterState } from "../src/knowledge/cluster.js";
import { StoreReaders } from "../src/knowledge/readers.js";
import { ChangeSharing } from "../src/knowledge/sharing.js";
import type { PeerMessage } from "../src/links/messages.js";
import type { ClusterChange, ClusterStore } from "../src/ports.js";
import { createSilentLog } from "./fixtures.js";

test("a VM follows the first VM of its data centre, by name, that reaches the store, until that VM is silent", () => {
    const readers = new StoreReaders({ vm: "b", dataCentre: "x" });
    assert.is(readers.findReader(0), undefined);
    readers.update("c", "x", true, 0);
    readers.update("a", "y", true, 0);
    assert.is(readers.findReader(0), undefined);
    readers.update("a", "x", false, 0);
    assert.is(readers.findReader(0), undefined);
    readers.update("a", "x", true, 0);
    assert.is(readers.findReader(600), "a");
    assert.is(readers.findReader(800), undefined);
});

/** VMs of two data centres; each may lose its links and its connection to the store. */
class Fleet {
    now = 0;
    readonly vms = ["a", "b", "c", "d", "e"].map(name => this.createVm(name, "cd".includes(name) ? "y" : "x"));
    private position = 0;

    /** Appends a change to the store; VMs that read the store receive it at once. */
    append(): void {
        this.position += 1;
        const change: ClusterChange = { kind: "version", key: "m/a1", version: this.position, position: this.position };
        for (const vm of this.vms) {
            vm.unread.push(change);
            vm.unreadReports.push({ name: `r${this.position}`, crashes: [], clearances: [] });
        }
        this.readAll();
    }

    /** Opens the links of a VM: both sides of each link send their crash reports, as programs do when a link opens. */
    sendInitialMessages(vm: Vm): void {
        for (const other of this.vms) {
            this.send(vm.name, other.name, { type: "crashReports", reports: [...vm.reports.values()] });
            this.send(other.name, vm.name, { type: "crashReports", reports: [...other.reports.values()] });
        }
    }

    readAll(): void {
        for (const vm of this.vms) {
            if (vm.store.isReading && vm.reachesStore) {
                this.receive(vm, vm.unread.splice(0));
                this.receiveReports(vm, vm.unreadReports.splice(0));
            }
        }
    }

    advance(ms: number): void {
        for (let elapsed = 0; elapsed < ms; elapsed += 250) {
            this.now += 250;
            for (const vm of this.vms) {
                if (vm.store.isReading) {
                    vm.cluster.setReachable(vm.reachesStore);
                }
                vm.sharing.update();
            }
            this.readAll();
        }
    }

    readVersions(): (number | undefined)[] {
        return this.vms.map(vm => vm.view.versions.findNewest("m/a1")?.version);
    }

    private receive(vm: Vm, changes: readonly ClusterChange[]): void {
        const fresh = vm.cluster.applyChanges(changes);
        if (fresh.length > 0) {
            vm.sharing.forwardChanges(fresh);
        }
    }

    private receiveReports(vm: Vm, reports: readonly CrashReport[]): void {
        const fresh = reports.filter(({ name }) => !vm.reports.has(name));
        fresh.forEach(report => vm.reports.set(report.name, report));
        if (fresh.length > 0) {
            vm.sharing.forwardMessage({ type: "crashReports", reports: fresh });
        }
    }

    private send(from: string, to: string, message: PeerMessage): void {
        const [sender, receiver] = [from, to].map(name => this.vms.find(vm => vm.name === name)!) as [Vm, Vm];
        if (!sender.isUp || !receiver.isUp) {
            return;
        }
        switch (message.type) {
            case "changes":
                this.receive(receiver, message.changes);
                return;
            case "crashReports":
                this.receiveReports(receiver, message.reports);
                return;
            case "positions":
                receiver.sharing.receivePositions(from, sender.dataCentre, message.positions, message.canRead);
                return;
            case "follow":
                receiver.sharing.receiveFollow(from, message.isWanted, message.positions);
                return;
            case "pull":
                receiver.sharing.receivePull(from, message.positions);
                return;
            default:
                return;
        }
    }

    private createVm(name: string, dataCentre: string): Vm {
        const view = new FleetView();
        const readTime = () => this.now;
        const log = createSilentLog(readTime);
        const cluster = new ClusterState({
            view,
            log,
            readTime,
            onChange: () => {},
            onUpstreamGone: () => {},
            onMember: () => {},
        });
        const store = {
            isReading: true,
            start: () => {},
            stop: () => {},
            appendMember: () => {},
            appendCrashReport: () => Promise.resolve(true),
            setReading: (isReading: boolean) => {
                store.isReading = isReading;
            },
        };
        const reports = new Map<string, CrashReport>();
        const others = () => this.vms.filter(vm => vm.name !== name && vm.isUp).map(vm => vm.name);
        const sharing = new ChangeSharing({
            vm: name,
            dataCentre,
            cluster,
            store,
            log,
            readTime,
            send: (to, message) => this.send(name, to, message),
            broadcast: message => others().forEach(to => this.send(name, to, message)),
            sendToDataCentre: message =>
                this.vms.filter(vm => vm.name !== name && vm.isUp && vm.dataCentre === dataCentre)
                    .forEach(vm => this.send(name, vm.name, message)),
            listLinked: others,
            readStoreSilenceMs: () => 0,
            listCrashReports: () => [...reports.values()],
        });
        const reading = { unread: [], unreadReports: [], reachesStore: true, isUp: true };
        return { name, dataCentre, view, cluster, store, sharing, reports, ...reading };
    }
}

interface Vm {
    readonly name: string;
    readonly dataCentre: string;
    readonly view: FleetView;
    readonly cluster: ClusterState;
    readonly store: ClusterStore;
    readonly sharing: ChangeSharing;
    readonly unread: ClusterChange[];
    readonly reports: Map<string, CrashReport>;
    readonly unreadReports: CrashReport[];
    reachesStore: boolean;
    isUp: boolean;
}

test("only one VM of each data centre reads the store, and all VMs receive each change", () => {
    const fleet = new Fleet();
    fleet.append();
    fleet.advance(1000);
    assert.equal(fleet.vms.map(vm => vm.store.isReading), [true, false, true, false, false]);
    fleet.append();
    assert.equal(fleet.readVersions(), [2, 2, 2, 2, 2]);
    assert.equal(fleet.vms.map(vm => vm.reports.size), [2, 2, 2, 2, 2]);
});

test("all running VMs receive each change within 2 s, whichever VMs lose the store or stop, in any order", () => {
    const step = fc.record({
        vm: fc.nat(4),
        what: fc.constantFrom("loseStore", "reachStore", "stop", "start"),
        waitMs: fc.integer({ min: 0, max: 4 }).map(quarters => quarters * 250),
    });
    fc.assert(
        fc.property(fc.array(step, { minLength: 1, maxLength: 20 }), steps => {
            const fleet = new Fleet();
            fleet.advance(500);
            for (const { vm, what, waitMs } of steps) {
                const chosen = fleet.vms[vm]!;
                chosen.reachesStore = what === "loseStore" ? false : what === "reachStore" ? true : chosen.reachesStore;
                chosen.isUp = what === "stop" ? false : what === "start" ? true : chosen.isUp;
                if (what === "stop") {
                    fleet.vms.forEach(other => other.sharing.removeVm(chosen.name));
                }
                if (what === "start") {
                    fleet.sendInitialMessages(chosen);
                }
                fleet.append();
                fleet.advance(waitMs);
            }
            fleet.append();
            fleet.advance(2000);
            const newest = Math.max(...fleet.readVersions().map(version => version ?? 0));
            const up = fleet.vms.filter(vm => vm.isUp);
            if (!up.some(vm => vm.reachesStore)) {
                return;
            }
            for (const vm of up) {
                assert.is(vm.view.versions.findNewest("m/a1")?.version, newest);
                assert.is(vm.reports.size, newest);
            }
        }),
        { seed: 31, numRuns: 300 },
    );
});

test("a reader with twice the pause between reads is dropped after twice the silence", () => {
    const slow = new StoreReaders({ vm: "b", dataCentre: "x", entriesPauseMs: 600 });
    slow.update("a", "x", true, 0);
    assert.is(slow.findReader(1400), "a");
    assert.is(slow.findReader(1401), undefined);
});

/**
 * Guards against a flood of positions: if a reader reports its positions at every response of the store in addition to
 * its regular checks, each of 91 VMs receives 35 positions per second from 4 readers.
 */
test("a reader whose store responds often reports its positions no more often than at its regular checks", () => {
    let now = 0;
    let reportCount = 0;
    let broadcastCount = 0;
    const options = { view: new FleetView(), log: createSilentLog(() => now), readTime: () => now };
    const cluster = new ClusterState({ ...options, onChange: () => {}, onUpstreamGone: () => {}, onMember: () => {} });
    const sharing = new ChangeSharing({
        ...options,
        vm: "a",
        dataCentre: "x",
        cluster,
        store: { isReading: true, setReading: () => {} } as unknown as ClusterStore,
        send: () => {},
        broadcast: () => {
            reportCount += 1;
            broadcastCount += 1;
        },
        sendToDataCentre: () => reportCount += 1,
        listCrashReports: () => [],
        listLinked: () => [],
        readStoreSilenceMs: () => 0,
    });
    cluster.setReachable(true);
    for (; now < 1000; now += 10) {
        sharing.update();
    }
    assert.ok(reportCount >= 4 && reportCount <= 5, `${reportCount} reports per second`);
    assert.ok(broadcastCount >= 2 && broadcastCount <= 3, `${broadcastCount} reports per second to other data centres`);
    cluster.setReachable(false);
    sharing.update();
    cluster.setReachable(true);
    sharing.update();
    assert.ok(reportCount >= 6 && reportCount <= 7, "a change of canRead is reported at once");
});

test.run();
