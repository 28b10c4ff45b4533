import { type CrashReport, Quarantine } from "../src/index.js";
import { createRandom } from "./workload.js";

/** Largest number of VMs that form a full mesh. */
export const meshVms = 12;

/** Options of a {@link CrashSimulation}. */
export interface CrashSimulationOptions {
    readonly seed: number;
    readonly vms: number;
    readonly engines: number;
    /** Simulated time, in milliseconds. */
    readonly lengthMs: number;
    /** Mean time between two ends of engines for reasons other than a request, in milliseconds. @default never */
    readonly otherEndsMs?: number;
    /** Start and end of the time in which the store is unreachable, in milliseconds. @default never */
    readonly storeOutage?: readonly [number, number];
    /** When all VMs are killed and restart, in milliseconds. @default never */
    readonly restartAt?: number;
}

/** A VM as all simulations know it. */
export interface SimulatedVm {
    readonly name: string;
    readonly isHub: boolean;
    readonly dataCentre: number;
    incarnation: number;
    reports: number;
    quarantine: Quarantine;
}

/** An engine with the requests that it runs. */
export interface Engine<Run> {
    readonly name: string;
    incarnation: number;
    isUp: boolean;
    runs: Run[];
}

/**
 * Simulates VMs that share crash reports over slow links and a store, in virtual time. Of the production code only the
 * decisions run here; engines, links and the store are simulated. What requests do is up to the subclass.
 */
export abstract class CrashSimulation<Vm extends SimulatedVm, Run extends { readonly vm: Vm; }> {
    abstract readonly tally: { otherEnds: number; };
    protected now = 0;
    protected readonly vms: Vm[];
    protected readonly engines: Engine<Run>[];
    /** Reports that were sent to another VM, and that were written to the store. */
    protected messages = 0;
    protected records = 0;
    protected readonly random: () => number;
    /** Events by the millisecond in which they happen. */
    private readonly events: (() => void)[][] = [];
    private readonly store: CrashReport[] = [];

    /** @param downtimeMs Shortest time for which an engine is down, and how much longer it may be. */
    constructor(
        private readonly simulationOptions: CrashSimulationOptions,
        private readonly downtimeMs: readonly [number, number],
    ) {
        const { seed, vms, engines } = simulationOptions;
        this.random = createRandom(seed);
        this.vms = Array.from({ length: vms }, (_, index) =>
            this.createVm({
                name: `v${index}`,
                isHub: vms <= meshVms || index % 5 === 0,
                dataCentre: index % 4,
                incarnation: 1,
                reports: 0,
                quarantine: new Quarantine(),
            }));
        this.engines = Array.from({ length: engines }, (_, index) => ({
            name: `e${index}`,
            incarnation: 1,
            isUp: true,
            runs: [],
        }));
    }

    protected abstract createVm(vm: SimulatedVm): Vm;

    /** Handles the end of an engine at a VM, some milliseconds after it. */
    protected abstract recordBreaks(vm: Vm, upstream: string, endedAt: number, runs: readonly Run[]): void;

    /** Called when a VM has lost what its process knew. */
    protected abstract receiveRestart(vm: Vm): void;

    protected receiveReport(vm: Vm, report: CrashReport): void {
        vm.quarantine.applyReport(report, this.now);
    }

    /** Schedules the ends of engines and the restart of the VMs, and runs all events. */
    protected runEvents(): void {
        const { lengthMs, otherEndsMs, restartAt } = this.simulationOptions;
        if (otherEndsMs !== undefined) {
            this.scheduleEvery(otherEndsMs, () => this.endAny());
        }
        if (restartAt !== undefined) {
            this.schedule(restartAt, () => this.restartVms());
        }
        for (this.now = 0; this.now <= lengthMs; this.now++) {
            // An event may schedule another one for the same millisecond.
            const due = this.events[this.now] ?? [];
            for (let index = 0; index < due.length; index++) {
                due[index]!();
            }
            this.events[this.now] = [];
        }
    }

    protected end(engine: Engine<Run>): void {
        engine.isUp = false;
        const { runs } = engine;
        engine.runs = [];
        const upstream = `${engine.name}#${engine.incarnation}`;
        const [shortestMs, furtherMs] = this.downtimeMs;
        this.schedule(shortestMs + this.random() * furtherMs, () => {
            engine.incarnation += 1;
            engine.isUp = true;
        });
        // Each VM notices the end by itself, some milliseconds later.
        for (const vm of new Set(runs.map(run => run.vm))) {
            const { incarnation } = vm;
            const broken = runs.filter(run => run.vm === vm);
            const endedAt = this.now;
            this.schedule(
                5 + this.random() * 10,
                () => vm.incarnation === incarnation && this.recordBreaks(vm, upstream, endedAt, broken),
            );
        }
    }

    protected sendReport(vm: Vm, content: Omit<CrashReport, "name">, isRecorded = true): void {
        vm.reports += 1;
        const report = { name: `${vm.name}/${vm.incarnation}/${vm.reports}`, ...content };
        vm.quarantine.addReport(report);
        for (const other of this.vms) {
            const isLinked = vm.isHub || other.isHub || other.dataCentre === vm.dataCentre;
            if (other !== vm && isLinked) {
                this.messages += 1;
                this.forwardReport(other, report, 1 + this.random() * 30);
            }
        }
        if (isRecorded) {
            this.records += 1;
            this.appendReport(report);
        }
    }

    protected listUp(): Engine<Run>[] {
        return this.engines.filter(({ isUp }) => isUp);
    }

    protected choose<Item>(items: readonly Item[]): Item {
        return items[Math.floor(this.random() * items.length)]!;
    }

    protected scheduleEvery(meanMs: number, run: () => void): void {
        this.schedule(-Math.log(1 - this.random()) * meanMs, () => {
            run();
            this.scheduleEvery(meanMs, run);
        });
    }

    protected schedule(waitMs: number, run: () => void): void {
        const at = Math.ceil(this.now + waitMs);
        (this.events[at] ??= []).push(run);
    }

    private endAny(): void {
        const up = this.listUp();
        if (up.length > 0) {
            this.tally.otherEnds += 1;
            this.end(this.choose(up));
        }
    }

    private forwardReport(vm: Vm, report: CrashReport, delayMs: number): void {
        const { incarnation } = vm;
        this.schedule(delayMs, () => vm.incarnation === incarnation && this.receiveReport(vm, report));
    }

    /** Writes a report to the store as soon as the store is reachable; all VMs read the report within 0.7 s. */
    private appendReport(report: CrashReport): void {
        const [from, until] = this.simulationOptions.storeOutage ?? [Infinity, Infinity];
        if (this.now >= from && this.now < until) {
            this.schedule(500, () => this.appendReport(report));
            return;
        }
        this.store.push(report);
        for (const vm of this.vms) {
            this.forwardReport(vm, report, 200 + this.random() * 500);
        }
    }

    private restartVms(): void {
        for (const engine of this.engines) {
            engine.runs = [];
        }
        for (const vm of this.vms) {
            vm.incarnation += 1;
            vm.quarantine = new Quarantine();
            for (const report of this.store) {
                this.forwardReport(vm, report, 100 + this.random() * 300);
            }
            this.receiveRestart(vm);
        }
    }
}
