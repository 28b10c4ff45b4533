import { BootClock, type Timers } from "../src/clock.js";
import type { PeerMessage } from "../src/links/messages.js";
import { Schedule } from "./schedule.js";

const linkDelayMs = 2;
const linkSilenceMs = 6000;
const linkBackoffMs = 500;

/** One process of a VM in simulated time, which can be suspended. */
export abstract class SimulatedProcess {
    isAlive = true;
    frozenUntil = 0;
    private frozenMs = 0;
    readonly bootClock: BootClock;

    constructor(readonly network: SimulatedNetwork<SimulatedProcess>, readonly vm: string) {
        const { schedule } = network;
        this.bootClock = new BootClock({ readSteady: () => this.readSteady(), readWall: () => schedule.now });
    }

    /** Handles a message of another VM. */
    abstract receive(from: string, message: PeerMessage): void;

    /** Handles the loss of the link to another VM. */
    abstract removeVm(vm: string): void;

    /** Lists the messages for a VM whose link has just opened. */
    createInitialMessages(_to: string): PeerMessage[] {
        return [];
    }

    /** Time of a clock that stops while the VM is suspended, in milliseconds. */
    readSteady(): number {
        return this.network.schedule.now - this.frozenMs;
    }

    pause(ms: number): void {
        this.frozenUntil = this.network.schedule.now + ms;
        this.frozenMs += ms;
    }

    /** Runs a function in this process: now, or once the process resumes. */
    schedule(run: () => void): void {
        const waitMs = this.frozenUntil - this.network.schedule.now;
        if (waitMs > 0) {
            this.network.schedule.add(waitMs, () => this.schedule(run));
        }
        else if (this.isAlive) {
            run();
        }
    }

    wait(ms: number): Promise<void> {
        return new Promise(resolve => this.network.schedule.add(ms, () => this.schedule(resolve)));
    }

    createTimers(): Timers {
        return {
            scheduleOnce: (run, waitMs) => {
                let isCancelled = false;
                this.network.schedule.add(waitMs, () =>
                    this.schedule(() => {
                        if (!isCancelled) {
                            run();
                        }
                    }));
                return {
                    cancel: () => {
                        isCancelled = true;
                    },
                };
            },
            scheduleEvery: () => {
                throw new Error("these processes must not schedule repeated timers");
            },
        };
    }
}

/** The network path between two VMs. */
interface Path {
    cuts: number;
    isCut: boolean;
    isLinked: boolean;
    delayedMessages: (() => void)[];
}

/** VMs and the paths between them, in simulated time. */
export class SimulatedNetwork<Process extends SimulatedProcess> {
    readonly schedule = new Schedule();
    readonly processes = new Map<string, Process>();
    private readonly paths = new Map<string, Path>();

    constructor(readonly vms: readonly string[]) {}

    /** Starts a process in place of the VM's earlier one. */
    protected startProcess(process: Process): void {
        const { vm } = process;
        this.kill(vm);
        this.processes.set(vm, process);
        for (const other of this.vms) {
            const path = this.findPath(vm, other);
            path.isLinked = other !== vm && !path.isCut;
            if (path.isLinked) {
                this.sendInitialMessages(vm, other);
            }
        }
    }

    kill(vm: string): void {
        const vmProcess = this.processes.get(vm);
        if (vmProcess === undefined) {
            return;
        }
        vmProcess.isAlive = false;
        this.processes.delete(vm);
        for (const other of this.vms) {
            this.closeLink(vm, other);
        }
    }

    listLinked(vm: string): string[] {
        return this.vms.filter(other => other !== vm && this.findPath(vm, other).isLinked && this.processes.has(other));
    }

    broadcast(from: SimulatedProcess, message: PeerMessage): void {
        for (const vm of this.listLinked(from.vm)) {
            this.send(from, vm, message);
        }
    }

    send(from: SimulatedProcess, to: string, message: PeerMessage): boolean {
        const path = this.findPath(from.vm, to);
        const target = this.processes.get(to);
        if (!path.isLinked || target === undefined) {
            return false;
        }
        const deliver = (): void =>
            this.schedule.add(linkDelayMs, () => target.schedule(() => target.receive(from.vm, message)));
        if (path.isCut) {
            path.delayedMessages.push(deliver);
        }
        else {
            deliver();
        }
        return true;
    }

    /** Cuts the paths between some VMs and all others. */
    closePathsOf(vms: readonly string[]): void {
        for (const vm of vms) {
            for (const other of this.vms.filter(each => !vms.includes(each))) {
                this.closePath(vm, other);
            }
        }
    }

    /** Cuts the path between two VMs. */
    closePathBetween(vm: string, other: string): void {
        this.closePath(vm, other);
    }

    openPaths(): void {
        for (const [key, path] of this.paths) {
            if (path.isCut) {
                path.isCut = false;
                path.delayedMessages.splice(0).forEach(deliver => deliver());
                const [vm, other] = key.split(" ") as [string, string];
                this.schedule.add(linkBackoffMs, () => this.openLink(vm, other));
            }
        }
    }

    private openLink(vm: string, other: string): void {
        const path = this.findPath(vm, other);
        const wasLinked = path.isLinked;
        path.isLinked = !path.isCut && this.processes.has(vm) && this.processes.has(other);
        if (path.isLinked && !wasLinked) {
            this.sendInitialMessages(vm, other);
        }
    }

    private sendInitialMessages(vm: string, other: string): void {
        for (const [from, to] of [[vm, other], [other, vm]] as const) {
            const sender = this.processes.get(from);
            sender?.createInitialMessages(to).forEach(message => this.send(sender, to, message));
        }
    }

    private closePath(vm: string, other: string): void {
        const path = this.findPath(vm, other);
        path.isCut = true;
        path.cuts += 1;
        const { cuts } = path;
        this.schedule.add(linkSilenceMs, () => {
            if (path.isCut && path.cuts === cuts) {
                this.closeLink(vm, other);
            }
        });
    }

    private closeLink(vm: string, other: string): void {
        const path = this.findPath(vm, other);
        if (!path.isLinked) {
            return;
        }
        path.isLinked = false;
        path.delayedMessages = [];
        this.processes.get(vm)?.schedule(() => this.processes.get(vm)?.removeVm(other));
        this.processes.get(other)?.schedule(() => this.processes.get(other)?.removeVm(vm));
    }

    private findPath(vm: string, other: string): Path {
        const key = vm < other ? `${vm} ${other}` : `${other} ${vm}`;
        const path = this.paths.get(key) ?? { cuts: 0, isCut: false, isLinked: false, delayedMessages: [] };
        this.paths.set(key, path);
        return path;
    }
}
