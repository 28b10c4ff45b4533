import { createOrdinal, FleetView, readShard, type Upstream } from "@radishreel/fleet";
import { ok } from "neverthrow";
import * as assert from "uvu/assert";
import { BootClock, type Timers } from "../src/clock.js";
import type { Handover, LeaseQuery, LeaseState } from "../src/ownership/leasemessages.js";
import { ShardOwnership } from "../src/ownership/ownership.js";
import type { Release } from "../src/ownership/releases.js";
import type { EngineOrders, Member, OrderGuard, ShardAssignment } from "../src/ports.js";
import { createSilentLog, createUpstream, engineService } from "./fixtures.js";
import { Schedule } from "./schedule.js";

/** Number of shards of the group; each shard has one engine. */
export const shardCount = 4;

const holderGapMs = 3000;
const membershipMs = 2800;
const replyTimeoutMs = 700;
const orderTimeoutMs = 90;
/** How long the answer to an order is waited for once its lease has ended. */
const lateAnswerMs = 700;
const maxLateAnswerMs = 2000;
const linkSilenceMs = 1500;
const linkBackoffMs = 500;
const loadRequestIntervalMs = 60;
const stopMs = 2300;
const copyIntervalMs = 200;

const engineNames = Array.from({ length: shardCount }, (_, shard) => {
    let index = 0;
    while (readShard(`e${index}`, shardCount) !== shard) {
        index += 1;
    }
    return `e${index}`;
});

/** An order that arrived at its engine. */
export interface ArrivedOrder {
    readonly engine: string;
    readonly holder: string;
    readonly fence: number;
    readonly at: number;
}

type GroupMessage =
    | { readonly kind: "release"; readonly release: Release; }
    | { readonly kind: "handover"; readonly handover: Handover; }
    | { readonly kind: "query"; readonly query: LeaseQuery; }
    | { readonly kind: "state"; readonly state: LeaseState; }
    | { readonly kind: "leaving"; };

/** What the store holds of the group and of the VMs' entries, at a time. */
interface GroupCopy {
    readonly at: number;
    readonly generation: number;
    readonly owners: ReadonlyMap<number, string>;
    readonly members: readonly string[];
    readonly entries: ReadonlyMap<string, Member>;
}

/** The network path from one VM to another. */
interface Path {
    isCut: boolean;
    delayMs: number;
    /** The open link and its two processes; undefined if no link is open. */
    link: { readonly from: VmProcess; readonly to: VmProcess; readonly held: GroupMessage[]; } | undefined;
    cuts: number;
}

/** One process of a VM. */
class VmProcess {
    isAlive = true;
    isLeaving = false;
    /** The VM is suspended until this time; its steady clock does not advance meanwhile. */
    suspendedUntil = 0;
    suspendedMs = 0;
    readonly incarnation: number;
    readonly ownership: ShardOwnership;
    readonly knownIncarnations = new Map<string, number>();
    readonly leaving = new Set<string>();

    constructor(readonly world: World, readonly vm: string) {
        this.incarnation = world.createIncarnation();
        const view = new FleetView();
        for (const name of engineNames) {
            view.updateUpstream(createUpstream(name), 0);
        }
        const readTime = () => world.schedule.now - this.suspendedMs;
        this.ownership = new ShardOwnership({
            vm,
            view,
            shardAssigner: {
                shardCount,
                renew: (generation, isCandidate) => world.renew(this, generation, isCandidate),
                release: () => world.releaseAll(this),
            },
            orders: this.createOrders(),
            log: createSilentLog(readTime),
            readTime,
            timers: this.createTimers(),
            bootClock: new BootClock({ readSteady: readTime, readWall: () => world.schedule.now }),
            holderGapMs,
            incarnation: this.incarnation,
            isFirstStart: world.schedule.now === 0,
            readIncarnation: other => this.knownIncarnations.get(other),
            findService: () => engineService,
            sendStatuses: () => {},
            sendReply: () => {},
            sendRelease: release => this.broadcast({ kind: "release", release }),
            sendQuery: query => this.broadcast({ kind: "query", query }),
            sendHandover: handover => this.sendHandover(handover),
            countOthers: () => world.vms.length - 1,
            recordGeneration: (generation, fences) => world.write(this, { generation, fences }),
            isCandidate: () => !world.standbys.has(vm),
        });
    }

    pause(ms: number): void {
        this.suspendedUntil = this.world.schedule.now + ms;
        this.suspendedMs += ms;
    }

    /** Runs a function in this process: now, or after a suspension, in the order in which functions were due. */
    schedule(run: () => void): void {
        const waitMs = this.suspendedUntil - this.world.schedule.now;
        if (waitMs > 0) {
            this.world.schedule.add(waitMs, () => this.schedule(run));
        }
        else if (this.isAlive) {
            run();
        }
    }

    broadcast(message: GroupMessage): void {
        for (const other of this.world.vms) {
            this.world.send(this, other, message);
        }
    }

    receive(from: VmProcess, message: GroupMessage): void {
        switch (message.kind) {
            case "release":
                this.ownership.recordRelease(from.vm, message.release);
                return;
            case "handover":
                this.ownership.receiveHandover(message.handover);
                return;
            case "query":
                this.world.send(this, from.vm, {
                    kind: "state",
                    state: this.ownership.readLeaseState(from.vm, message.query),
                });
                return;
            case "state":
                this.ownership.receiveLeaseState(from.vm, message.state);
                return;
            case "leaving":
                this.leaving.add(from.vm);
                return;
        }
    }

    receiveLink(from: VmProcess): void {
        if (this.knownIncarnations.get(from.vm) !== from.incarnation) {
            this.knownIncarnations.set(from.vm, from.incarnation);
            this.leaving.delete(from.vm);
            this.ownership.receiveStart();
        }
    }

    private sendHandover(handover: Handover): boolean {
        const receiver = this.world.vms.find(vm => this.world.isLinked(this, vm) && !this.leaving.has(vm));
        return receiver !== undefined && this.world.send(this, receiver, { kind: "handover", handover });
    }

    private createTimers(): Timers {
        const schedule = (run: () => void, waitMs: number, isRepeated: boolean) => {
            let isCancelled = false;
            const runOnce = () => {
                if (isCancelled) {
                    return;
                }
                if (isRepeated) {
                    this.world.schedule.add(waitMs, () => this.schedule(runOnce));
                }
                run();
            };
            this.world.schedule.add(waitMs, () => this.schedule(runOnce));
            return {
                cancel: () => {
                    isCancelled = true;
                },
            };
        };
        return {
            scheduleOnce: (run, waitMs) => schedule(run, waitMs, false),
            scheduleEvery: (run, intervalMs) => schedule(run, intervalMs, true),
        };
    }

    /** Answers an order after its sender gave it up, unless the sender has reset the connection meanwhile. */
    private addLateAnswer(transitMs: number, guard: OrderGuard): void {
        const check = (waitedMs: number, leasedMs: number): void => {
            const lastLeasedMs = guard.checkBeforeSend() ? waitedMs : leasedMs;
            if (waitedMs - lastLeasedMs > lateAnswerMs || waitedMs > maxLateAnswerMs) {
                return;
            }
            if (waitedMs >= transitMs) {
                guard.onLateAnswer?.();
                return;
            }
            this.world.schedule.add(50, () => this.schedule(() => check(waitedMs + 50, lastLeasedMs)));
        };
        check(0, 0);
    }

    /** Creates orders as specified by `EngineOrders`: the guard is checked in the same step as the write. */
    private createOrders(): EngineOrders {
        const { world } = this;
        return {
            send: async ({ name }, _order, guard) => {
                await world.wait(this, world.chooseOpeningMs(this.vm));
                if (!guard.checkBeforeSend()) {
                    return "conflict";
                }
                const transitMs = world.chooseTransitMs(this.vm);
                if (transitMs < world.lostOrderMs) {
                    // A lost packet is retransmitted and arrives although its sender no longer waits for the order.
                    const { holder, fence } = guard;
                    world.schedule.add(
                        transitMs,
                        () => world.arrived.push({ engine: name, holder, fence, at: world.schedule.now }),
                    );
                }
                if (transitMs >= orderTimeoutMs && transitMs < world.lostOrderMs) {
                    this.addLateAnswer(transitMs, guard);
                }
                await world.wait(this, Math.min(transitMs, orderTimeoutMs));
                return transitMs < orderTimeoutMs ? "holds" : "unknown";
            },
            readReport: async (upstream: Upstream) => {
                await world.wait(this, 5);
                return ok({ models: upstream.models, coming: [], sequence: 0, isBusy: false });
            },
        };
    }
}

/** VMs with their leases, the platform's group, the paths between VMs, and the engines, all in simulated time. */
export class World {
    readonly schedule = new Schedule();
    readonly arrived: ArrivedOrder[] = [];
    readonly processes = new Map<string, VmProcess>();
    /** Entries of the store's list of VMs. */
    readonly entries = new Map<string, Member>();
    /** Number of calls of all VMs that renew a membership. */
    renewals = 0;
    /** Whether the store refuses all calls at once. */
    isRefusing = false;
    /** VMs that are not to own engines. */
    readonly standbys = new Set<string>();
    /** VMs whose calls do not reach the store. */
    readonly cutOff = new Set<string>();
    /** VMs that do not receive the store's replies. */
    readonly withoutReplies = new Set<string>();
    generation = 0;
    /** Era of the store: it rises when the store comes back from an older copy. */
    era = 0;
    owners = new Map<number, string>();
    /** Delay of the store's replies. */
    chooseReplyMs: () => number = () => 2;
    private readonly copies: GroupCopy[] = [];
    chooseTransitMs: (vm: string) => number = () => 3;
    /** Flight time from which an order is lost and never arrives. */
    lostOrderMs = 250;
    chooseOpeningMs: (vm: string) => number = () => 0;
    readonly members = new Map<string, number>();
    private readonly paths = new Map<string, Path>();
    private lastIncarnation = 0;
    private loadRequestCount = 0;
    private outageAt = 0;

    constructor(readonly vms: readonly string[]) {
        for (const from of vms) {
            for (const to of vms) {
                this.paths.set(`${from}>${to}`, { isCut: false, delayMs: 2, link: undefined, cuts: 0 });
            }
        }
        this.addLoadRequests();
    }

    createIncarnation(): number {
        this.lastIncarnation += 1;
        return this.lastIncarnation;
    }

    start(vm: string): void {
        this.kill(vm);
        const process = new VmProcess(this, vm);
        this.processes.set(vm, process);
        for (const other of this.vms) {
            this.openLink(vm, other, 20);
            this.openLink(other, vm, 20);
        }
        this.readPreviousEntry(process);
    }

    /** Reads the previous entry of the VM from the store, and starts to lease shards. */
    private readPreviousEntry(process: VmProcess): void {
        if (!process.isAlive) {
            return;
        }
        if (this.cutOff.has(process.vm)) {
            this.schedule.add(100, () => this.readPreviousEntry(process));
            return;
        }
        this.schedule.add(10, () => {
            if (process.isAlive) {
                process.ownership.start(this.entries.get(process.vm));
                this.write(process, {});
            }
        });
    }

    kill(vm: string): void {
        const process = this.processes.get(vm);
        if (process === undefined) {
            return;
        }
        process.isAlive = false;
        this.processes.delete(vm);
        for (const path of this.paths.values()) {
            if (path.link?.from === process || path.link?.to === process) {
                path.link = undefined;
            }
        }
    }

    /** Starts a planned stop; the process ends some time after it. */
    stop(vm: string): void {
        const process = this.processes.get(vm);
        if (process === undefined || process.isLeaving) {
            return;
        }
        process.schedule(() => this.startStop(process));
    }

    private startStop(process: VmProcess): void {
        process.isLeaving = true;
        void process.ownership.stop();
        process.broadcast({ kind: "leaving" });
        this.write(process, { hasLeft: true });
        this.schedule.add(stopMs, () => process.isAlive && this.kill(process.vm));
    }

    /** The newest unwritten entry of each process; writes are retried until the store has the entry. */
    private readonly pendingEntries = new Map<VmProcess, Partial<Member>>();

    write(process: VmProcess, state: Partial<Member>): void {
        this.pendingEntries.set(process, state);
        this.schedule.add(5, () => this.writeNow(process, state));
    }

    private writeNow(process: VmProcess, state: Partial<Member>): void {
        if (!process.isAlive || this.pendingEntries.get(process) !== state) {
            return;
        }
        if (this.cutOff.has(process.vm)) {
            this.schedule.add(200, () => this.writeNow(process, state));
            return;
        }
        this.entries.set(process.vm, { id: process.vm, address: process.vm, ...state });
    }

    /** Waits in simulated time. The promise never resolves if the process ends meanwhile. */
    wait(process: VmProcess, ms: number): Promise<void> {
        return new Promise(resolve => {
            this.schedule.add(ms, () => process.schedule(resolve));
        });
    }

    async renew(
        process: VmProcess,
        generation: number,
        isCandidate = true,
    ): Promise<ShardAssignment | undefined> {
        this.renewals += 1;
        await this.wait(process, 2);
        if (this.isRefusing) {
            return undefined;
        }
        if (this.cutOff.has(process.vm)) {
            await this.wait(process, replyTimeoutMs);
            return undefined;
        }
        if (!isCandidate) {
            await this.wait(process, this.chooseReplyMs());
            return { generation, shards: [] };
        }
        this.expireMembers();
        if (!this.members.has(process.vm)) {
            this.members.set(process.vm, this.schedule.now);
            this.planEvenAssignment();
        }
        this.members.set(process.vm, this.schedule.now);
        const shards = [...this.owners].filter(([, owner]) => owner === process.vm).map(([shard]) => shard);
        const assignment = { generation: createOrdinal(this.era, this.generation), shards };
        if (this.withoutReplies.has(process.vm)) {
            await this.wait(process, replyTimeoutMs);
            return undefined;
        }
        await this.wait(process, this.chooseReplyMs());
        return assignment;
    }

    async releaseAll(process: VmProcess): Promise<boolean> {
        await this.wait(process, 2);
        if (this.cutOff.has(process.vm)) {
            await this.wait(process, replyTimeoutMs);
            return false;
        }
        if (this.members.delete(process.vm)) {
            this.planEvenAssignment();
        }
        await this.wait(process, 2);
        return true;
    }

    /** Copies the group and the entries every 200 ms. */
    startCopies(): void {
        this.copies.push({
            at: this.schedule.now,
            generation: this.generation,
            owners: new Map(this.owners),
            members: [...this.members.keys()],
            entries: new Map(this.entries),
        });
        this.schedule.add(copyIntervalMs, () => this.startCopies());
    }

    /** Lets the store come back from a copy of some time ago, in a new era. VMs write their entries again. */
    beginEra(ageMs: number): void {
        const copy = this.copies.findLast(({ at }) => at <= this.schedule.now - ageMs) ?? this.copies[0]!;
        this.era += 1;
        this.generation = copy.generation;
        this.owners = new Map(copy.owners);
        this.members.clear();
        copy.members.forEach(vm => this.members.set(vm, this.schedule.now));
        this.entries.clear();
        copy.entries.forEach((entry, vm) => this.entries.set(vm, entry));
        for (const [process, state] of this.pendingEntries) {
            this.schedule.add(500, () => this.writeNow(process, state));
        }
    }

    /** Makes the store unreachable for all VMs. */
    startOutage(): void {
        this.outageAt = this.schedule.now;
        this.vms.forEach(vm => this.cutOff.add(vm));
    }

    /** Ends an outage. @param hasTimePaused Whether membership time was stopped during the outage. */
    endOutage(hasTimePaused: boolean): void {
        this.cutOff.clear();
        if (hasTimePaused) {
            for (const [vm, joinedAt] of this.members) {
                this.members.set(vm, joinedAt + this.schedule.now - this.outageAt);
            }
        }
    }

    private expireMembers(): void {
        for (const [vm, joinedAt] of this.members) {
            if (this.schedule.now - joinedAt > membershipMs) {
                this.members.delete(vm);
                this.planEvenAssignment();
            }
        }
    }

    private planEvenAssignment(): void {
        const members = [...this.members.keys()].sort();
        this.planAssignment(shard => members[shard % members.length]);
    }

    /** Creates a new assignment of all shards. */
    planAssignment(choose: (shard: number) => string | undefined): void {
        this.generation += 1;
        this.owners.clear();
        for (let shard = 0; shard < shardCount; shard++) {
            const owner = choose(shard);
            if (owner !== undefined) {
                this.owners.set(shard, owner);
                if (!this.members.has(owner)) {
                    this.members.set(owner, this.schedule.now);
                }
            }
        }
    }

    closePath(from: string, to: string): void {
        const path = this.findPath(from, to);
        path.isCut = true;
        path.cuts += 1;
        const { cuts } = path;
        this.schedule.add(linkSilenceMs, () => {
            if (path.isCut && path.cuts === cuts) {
                path.link = undefined;
            }
        });
    }

    openPath(from: string, to: string): void {
        const path = this.findPath(from, to);
        path.isCut = false;
        if (path.link === undefined) {
            this.openLink(from, to, linkBackoffMs);
            return;
        }
        for (const message of path.link.held.splice(0)) {
            this.passMessage(path, message);
        }
    }

    isLinked(from: VmProcess, to: string): boolean {
        return this.findPath(from.vm, to).link?.from === from;
    }

    send(from: VmProcess, to: string, message: GroupMessage): boolean {
        const path = this.findPath(from.vm, to);
        if (path.link?.from !== from) {
            return false;
        }
        if (path.isCut) {
            path.link.held.push(message);
        }
        else {
            this.passMessage(path, message);
        }
        return true;
    }

    findPath(from: string, to: string): Path {
        return this.paths.get(`${from}>${to}`)!;
    }

    private passMessage(path: Path, message: GroupMessage): void {
        const link = path.link!;
        this.schedule.add(path.delayMs, () => {
            if (path.link !== link) {
                return;
            }
            if (path.isCut) {
                link.held.push(message);
                return;
            }
            link.to.schedule(() => link.to.receive(link.from, message));
        });
    }

    private openLink(from: string, to: string, waitMs: number): void {
        const path = this.findPath(from, to);
        this.schedule.add(waitMs + path.delayMs, () => {
            const [source, target] = [this.processes.get(from), this.processes.get(to)];
            if (from === to || path.link !== undefined || source === undefined || target === undefined) {
                return;
            }
            if (path.isCut) {
                this.openLink(from, to, linkBackoffMs);
                return;
            }
            path.link = { from: source, to: target, held: [] };
            target.schedule(() => target.receiveLink(source));
        });
    }

    /** Regularly requests the load of another adapter, so that every VM that may give orders gives some. */
    private addLoadRequests(): void {
        this.loadRequestCount += 1;
        for (
            const { ownership } of [...this.processes.values()].filter(process =>
                process.suspendedUntil <= this.schedule.now
            )
        ) {
            for (const engine of engineNames) {
                ownership.engines.prepareAdapter(engine, {
                    key: `base/a${this.loadRequestCount}`,
                    version: 1,
                    runMs: 100,
                    onTimeMs: 1000,
                    lifeMs: 1000,
                });
            }
        }
        this.schedule.add(loadRequestIntervalMs, () => this.addLoadRequests());
    }

    /** Finds the engine of a shard. */
    findEngine(shard: number): string {
        return engineNames[shard]!;
    }

    /** Lists the holders whose orders arrived at an engine since a time, in order, without consecutive duplicates. */
    listHolders(shard: number, since = 0): string[] {
        return this.arrived.filter(({ engine, at }) => engine === engineNames[shard] && at >= since)
            .map(({ holder }) => holder)
            .filter((holder, index, all) => holder !== all[index - 1]);
    }

    /** Checks that orders come from one holder at a time: no shared token, no lower token, no return within the gap. */
    checkOrders(): void {
        for (const engine of engineNames) {
            const lastAt = new Map<string, number>();
            let last: ArrivedOrder | undefined;
            for (const order of this.arrived.filter(arrived => arrived.engine === engine)) {
                const isOther = last !== undefined && last.holder !== order.holder;
                const orders = `${JSON.stringify(last)} then ${JSON.stringify(order)}`;
                assert.ok(
                    last === undefined || order.fence >= last.fence,
                    `a lower token after a higher one: ${orders}`,
                );
                assert.not(isOther && order.fence === last!.fence, `two holders with one token: ${orders}`);
                const before = lastAt.get(order.holder) ?? -Infinity;
                assert.ok(
                    !isOther || order.at - before >= holderGapMs,
                    `the holder ordered too soon after ${before}: ${orders}`,
                );
                lastAt.set(order.holder, order.at);
                last = order;
            }
        }
    }
}
