import { FleetView, type SoftwareClaims } from "@radishreel/fleet";
import { RouteTable } from "@radishreel/routing";
import * as assert from "uvu/assert";
import type { Timers } from "../src/clock.js";
import { Coordinators } from "../src/links/coordinators.js";
import type { PeerMessage } from "../src/links/messages.js";
import type { CallerDemand, Member, StreamHistoryStore } from "../src/ports.js";
import { type StreamMessage, Streams } from "../src/streams/index.js";
import { createSilentLog, createUpstream } from "./fixtures.js";
import { SimulatedNetwork, SimulatedProcess } from "./network.js";
import { budgetMs, route, routing, service, SimulatedStore } from "./streamstore.js";

const storeDelayMs = 4;
const storeTimeoutMs = 700;
const readPauseMs = 300;
const housekeepingMs = 250;
const appendBackoffMs = 200;

/** Number of VMs up to which all are linked to each other, as in topology.ts. */
const maxMeshVms = 13;

/** A worker of the only service. */
interface Worker {
    readonly id: string;
    readonly version: string;
    /** Whether its entry is in the store. */
    isRegistered: boolean;
}

/** A stream, as its caller sees it. */
export interface SimulatedStream {
    readonly id: string;
    /** Software versions that produced its events. */
    readonly versions: Set<string>;
    vm: string;
    worker: Worker;
}

/** How a caller's attempt to resume a stream ended. */
export type ResumptionEnd = "resumed" | "refused" | "noWorker" | "lost";

/** One process of a VM. */
class StreamVm extends SimulatedProcess {
    readonly view = new FleetView();
    readonly streams: Streams;
    readonly coordinators: Coordinators;
    private members: Member[] = [];
    private hasReadMembers = false;
    private lastAppend = 0;
    private streamsRead = 0;
    private readonly knownVms: Set<string>;

    constructor(readonly world: StreamWorld, vm: string) {
        super(world, vm);
        this.knownVms = new Set(world.seeds);
        this.coordinators = new Coordinators({
            vm,
            view: { listUpstreams: () => world.hubs.map(owner => ({ owner })) } as unknown as FleetView,
            peers: {
                isMesh: world.isMesh,
                listHandoverTargets: () => this.listConnected(),
            },
            isResponsive: () => true,
            isStopping: () => false,
        });
        this.streams = new Streams({
            vm,
            view: this.view,
            store: this.createStore(),
            log: createSilentLog(() => this.readSteady()),
            readTime: () => this.readSteady(),
            timers: this.createAllTimers(),
            cluster: { routes: new RouteTable(routing), listMembers: () => this.members },
            coordinators: () => this.coordinators,
            peers: () => ({
                isMesh: world.isMesh,
                listConnected: () => this.listConnected(),
                listKnown: () => this.listKnown(),
                send: (to, message) => world.send(this, to, message),
                sendToAll: (vms, message) => vms.forEach(to => world.send(this, to, message)),
            }),
            ownEntry: { appendClaims: (claims, onConfirmed) => void this.appendClaims(claims, onConfirmed) },
            onResolved: () => {},
            onChange: () => {},
        });
        this.streams.start();
        void this.follow();
        this.runHousekeeping();
    }

    /** Whether this VM reaches the store and all running VMs that it sends to. */
    get isInTouch(): boolean {
        const { world, vm } = this;
        const linked = new Set(world.listLinked(vm));
        return !world.store.cutOffVms.has(vm) && this.frozenUntil <= world.schedule.now && this.hasReadMembers
            && [...world.processes.keys()].every(other => other === vm || linked.has(other));
    }

    override receive(from: string, message: PeerMessage): void {
        this.streams.directory.receiveMessage(from, message as StreamMessage);
    }

    override removeVm(vm: string): void {
        this.streams.directory.removeVm(vm);
    }

    override createInitialMessages(to: string): PeerMessage[] {
        if (!this.isLinkWanted(to)) {
            return [];
        }
        if (this.world.processes.has(to)) {
            this.knownVms.add(to);
        }
        return this.streams.directory.createInitialMessages(to);
    }

    /** Lists the workers that this VM may send a stream to. */
    listWorkers(version?: string): Worker[] {
        return this.view.listUsable(service).flatMap(({ upstream }) => {
            const worker = this.world.workers.find(({ id }) => id === upstream.id);
            const mayServe = version === undefined
                ? this.streams.claims.mayBegin(service, upstream.softwareVersion)
                : upstream.softwareVersion === version;
            return worker !== undefined && mayServe ? [worker] : [];
        });
    }

    private listConnected(): string[] {
        return this.world.listLinked(this.vm).filter(other => this.isLinkWanted(other));
    }

    /** Lists the other VMs that this VM was told of at its start, has read of, or has been linked to. */
    private listKnown(): string[] {
        this.members.forEach(({ id }) => this.knownVms.add(id));
        return [...this.knownVms].filter(other => other !== this.vm);
    }

    private isLinkWanted(other: string): boolean {
        const { isMesh, hubs } = this.world;
        return isMesh || hubs.includes(this.vm) || hubs.includes(other);
    }

    /** Reads the entries of workers and VMs again and again. */
    private async follow(): Promise<void> {
        while (this.isAlive) {
            if (await this.waitForStore()) {
                this.readEntries();
            }
            await this.wait(readPauseMs);
        }
    }

    private readEntries(): void {
        const { store, workers } = this.world;
        const registered = workers.filter(({ isRegistered }) => isRegistered);
        for (const { id, version } of registered) {
            this.view.updateUpstream({ ...createUpstream(id, { service }), softwareVersion: version }, 0);
        }
        for (const { upstream } of this.view.listUpstreams()) {
            if (!registered.some(({ id }) => id === upstream.id)) {
                this.view.removeUpstream(upstream.id);
            }
        }
        this.members = [...store.claims].map(([id, softwareClaims]) => ({ id, address: id, softwareClaims }));
        if (!this.hasReadMembers) {
            this.hasReadMembers = true;
            this.streams.claims.receiveMembersRead(store.claims.get(this.vm));
        }
        this.streams.update();
    }

    private async waitForStore(): Promise<boolean> {
        const { store } = this.world;
        if (store.cutOffVms.has(this.vm)) {
            await this.wait(storeTimeoutMs);
            return false;
        }
        await this.wait(storeDelayMs);
        return true;
    }

    private async appendClaims(claims: SoftwareClaims, onConfirmed: () => void): Promise<void> {
        this.lastAppend += 1;
        const append = this.lastAppend;
        while (this.isAlive && this.lastAppend === append) {
            if (await this.waitForStore() && !this.world.store.isReadOnly) {
                this.world.store.claims.set(this.vm, claims);
                // The response may be lost although the write took effect.
                if (!this.world.store.cutOffVms.has(this.vm) && this.lastAppend === append) {
                    onConfirmed();
                    return;
                }
            }
            await this.wait(appendBackoffMs);
        }
    }

    private createStore(): StreamHistoryStore {
        const { store } = this.world;
        return {
            readClaims: async () => await this.waitForStore() ? [...store.claims.values()] : undefined,
            readStreams: async () => {
                if (!await this.waitForStore()) {
                    return undefined;
                }
                const records = store.records.slice(this.streamsRead);
                this.streamsRead = store.records.length;
                return records;
            },
            appendStreams: async records => {
                if (!await this.waitForStore() || store.isReadOnly) {
                    return false;
                }
                store.records.push(...records);
                store.appends += 1;
                return true;
            },
        };
    }

    private createAllTimers(): Timers {
        return {
            ...this.createTimers(),
            scheduleEvery: (run, intervalMs) => {
                const repeat = (): void => {
                    run();
                    this.world.schedule.add(intervalMs, () => this.schedule(repeat));
                };
                this.world.schedule.add(intervalMs, () => this.schedule(repeat));
                return { cancel: () => {} };
            },
        };
    }

    private runHousekeeping(): void {
        this.streams.update();
        this.world.schedule.add(housekeepingMs, () => this.schedule(() => this.runHousekeeping()));
    }
}

/** VMs, workers of several software versions, and callers that resume their streams, in simulated time. */
export class StreamWorld extends SimulatedNetwork<StreamVm> {
    readonly store = new SimulatedStore();
    readonly workers: Worker[] = [];
    /** VMs that are linked to all others; all VMs in a full mesh. */
    readonly hubs: readonly string[];
    readonly isMesh: boolean;
    /** VMs that each VM knows from its start. */
    readonly seeds: readonly string[];
    readonly streams: SimulatedStream[] = [];
    messages = 0;
    private nextId = 1;

    /** @param addedCount Number of the last VMs that the others do not know from their start. */
    constructor(count: number, private readonly random: () => number, addedCount = 0) {
        super(Array.from({ length: count }, (_value, index) => `vm${String(index).padStart(3, "0")}`));
        this.seeds = this.vms.slice(0, count - addedCount);
        this.isMesh = count <= maxMeshVms;
        this.hubs = this.isMesh ? this.vms : this.vms.filter((_vm, index) => index % 3 === 0);
    }

    override send(from: SimulatedProcess, to: string, message: PeerMessage): boolean {
        this.messages += 1;
        return super.send(from, to, message);
    }

    startVm(vm: string): void {
        this.startProcess(new StreamVm(this, vm));
    }

    addWorker(version: string): Worker {
        const worker: Worker = { id: `worker${this.nextId++}`, version, isRegistered: true };
        this.workers.push(worker);
        return worker;
    }

    /** Ends a worker; its entry is removed. */
    removeWorker(worker: Worker): void {
        worker.isRegistered = false;
        this.workers.splice(this.workers.indexOf(worker), 1);
    }

    /** Lists the VMs that keep the records of streams. */
    listStreamHolders(): string[] {
        return this.processes.get(this.hubs[0]!)!.coordinators.listStreamHolders();
    }

    choose<Item>(items: readonly Item[]): Item | undefined {
        return items[Math.floor(this.random() * items.length)];
    }

    /** Begins a stream at a VM; undefined if the VM has no worker at which it may begin. */
    beginStream(vm: StreamVm): SimulatedStream | undefined {
        const worker = vm.frozenUntil > this.schedule.now ? undefined : this.choose(vm.listWorkers());
        if (worker === undefined) {
            return undefined;
        }
        const id = `q${this.nextId++}`;
        vm.streams.directory.recordBegin(id, { service, softwareVersion: worker.version }, budgetMs);
        const stream = { id, versions: new Set([worker.version]), vm: vm.vm, worker };
        this.streams.push(stream);
        return stream;
    }

    /** Resumes a stream at a VM. */
    async resumeStream(stream: SimulatedStream, vm: StreamVm, resumes: string | undefined): Promise<ResumptionEnd> {
        const demand: CallerDemand = {
            requestId: `q${this.nextId++}`,
            budgetMs,
            model: undefined,
            lastEventId: "2",
            resumes,
        };
        const resolution = await vm.streams.resolver.resolve(demand, route);
        if (!vm.isAlive) {
            return "lost";
        }
        if (resolution.kind === "refused") {
            return "refused";
        }
        const worker = this.choose(vm.listWorkers(resolution.origin.softwareVersion));
        if (worker === undefined) {
            return "noWorker";
        }
        if (resumes !== undefined) {
            vm.streams.directory.recordBegin(resumes, resolution.origin, budgetMs);
        }
        stream.versions.add(worker.version);
        stream.vm = vm.vm;
        stream.worker = worker;
        return "resumed";
    }

    /** Resumes streams at VMs in touch, and returns the share that went on. */
    async measureResumed(streams: readonly SimulatedStream[], ms = 2000): Promise<number> {
        const ends: ResumptionEnd[] = [];
        const vmsInTouch = [...this.processes.values()].filter(({ isInTouch }) => isInTouch);
        for (const stream of streams) {
            const vm = this.choose(vmsInTouch)!;
            void this.resumeStream(stream, vm, stream.id).then(end => ends.push(end));
        }
        await this.schedule.advance(ms);
        assert.is(ends.length, streams.length);
        return ends.filter(end => end === "resumed").length / streams.length;
    }

    /** Begins streams at all VMs. */
    beginStreams(count: number): SimulatedStream[] {
        const vms = [...this.processes.values()];
        return Array.from({ length: count }, () => this.beginStream(this.choose(vms)!))
            .filter(stream => stream !== undefined);
    }

    /** Checks that no stream has events of two software versions. */
    checkStreams(): void {
        const mixed = this.streams.filter(({ versions }) => versions.size > 1);
        assert.equal(mixed.map(({ id, versions }) => [id, ...versions]), []);
    }
}

/** Starts a world whose VMs know workers of these versions. The last `addedCount` VMs are yet to start. */
export async function startWorld(
    count: number,
    versions: readonly string[],
    random: () => number,
    addedCount = 0,
): Promise<StreamWorld> {
    const world = new StreamWorld(count, random, addedCount);
    versions.forEach(version => world.addWorker(version));
    world.seeds.forEach(vm => world.startVm(vm));
    await world.schedule.advance(1000);
    return world;
}
