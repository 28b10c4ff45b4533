import { RetryBudgets, type RetryClaim } from "../src/index.js";
import { createRandom } from "./workload.js";

/** Limits that a service's operator sets on its retries over all VMs. */
export const limits = { ratio: 0.2, slack: 54, windowMs: 10_000 };

/** Duration of one step of the simulation, in milliseconds. */
const stepMs = 20;

/** Options of {@link runHistory}. */
export interface HistoryOptions {
    readonly seed: number;
    readonly vms: number;
    /** Requests per second, over all VMs. */
    readonly rate: number;
    readonly lengthMs: number;
    /** Mean time between two kills, in milliseconds. @default 2500 */
    readonly killEveryMs?: number;
    /** Mean time between two additions of a VM, in milliseconds. @default 8000 */
    readonly addEveryMs?: number;
    /** Share of retries that arrive up to 4 s late. @default 0.02 */
    readonly lateShare?: number;
}

/** A request, or the arrival of a retry, at a time in milliseconds. */
interface History {
    readonly requests: readonly number[];
    readonly arrivals: readonly number[];
}

/** One process of a VM. */
interface Process {
    readonly budgets: RetryBudgets;
    /** When this process knows all VMs. Before that it knows few. */
    readonly knowsAllAt: number;
}

interface Vm {
    process: Process | undefined;
    /** When the VM runs again, while it has no process. */
    startAt: number;
    /** Relative share of the requests. */
    readonly weight: number;
    /** When the other VMs know of this one. */
    readonly knownAt: number;
}

/** A retry that was claimed and has not arrived yet. */
interface Underway {
    readonly at: number;
    readonly claim: RetryClaim;
}

/**
 * Runs VMs that take every retry that their budgets allow, while processes are killed and start again, and VMs are added
 * without being known to others at once.
 */
export function runHistory(options: HistoryOptions): History {
    return new BudgetWorld(options).run();
}

/** The most by which the retries that arrive in a window exceed what is allowed in it; negative if none does. */
export function findLargestExcess({ requests, arrivals }: History): number {
    const { ratio, slack, windowMs } = limits;
    let largest = -Infinity;
    for (let first = 0, last = 0; last < arrivals.length; last += 1) {
        const end = arrivals[last]!;
        while (arrivals[first]! <= end - windowMs) {
            first += 1;
        }
        const counts = [0, windowMs / 2, windowMs].map(earlier => countBetween(requests, end - earlier, windowMs));
        largest = Math.max(largest, last - first + 1 - (ratio * Math.max(...counts) + slack));
    }
    return largest;
}

class BudgetWorld {
    private readonly vms: Vm[] = [];
    private readonly requests: number[] = [];
    private readonly arrivals: number[] = [];
    private underway: Underway[] = [];
    private now = 0;
    private readonly random: () => number;

    constructor(private readonly options: HistoryOptions) {
        this.random = createRandom(options.seed);
        for (let index = 0; index < options.vms; index += 1) {
            this.addVm(0);
        }
    }

    run(): History {
        const { killEveryMs = 2500, addEveryMs = 8000, rate, lengthMs } = this.options;
        let failsUntil = 0;
        let worksUntil = 0;
        for (this.now = 0; this.now < lengthMs; this.now += stepMs) {
            if (this.now >= worksUntil && this.now >= failsUntil) {
                worksUntil = this.now + this.random() * 8000;
                failsUntil = worksUntil + this.random() * 8000;
            }
            this.startProcesses();
            if (this.random() < stepMs / killEveryMs) {
                this.killProcesses([0.2, 0.5, 1, 1][Math.floor(this.random() * 4)]!);
            }
            if (this.random() < stepMs / addEveryMs && this.vms.length < this.options.vms * 1.4) {
                this.addVm(this.now);
            }
            for (let count = rate * stepMs / 1000; count > this.random(); count -= 1) {
                this.receiveRequest(this.now >= worksUntil);
            }
            this.receiveArrivals();
        }
        return { requests: this.requests, arrivals: this.arrivals.sort((left, right) => left - right) };
    }

    private addVm(knownFrom: number): void {
        this.vms.push({
            process: undefined,
            startAt: this.now,
            weight: 0.2 + this.random(),
            knownAt: knownFrom === 0 ? 0 : knownFrom + this.random() * 6000,
        });
    }

    private startProcesses(): void {
        for (const vm of this.vms) {
            if (vm.process === undefined && this.now >= vm.startAt) {
                vm.process = this.createProcess();
            }
        }
    }

    private createProcess(): Process {
        const process: Process = {
            budgets: new RetryBudgets({ ...limits, countVms: () => this.countKnown(process) }),
            knowsAllAt: this.now + this.random() ** 3 * 3000,
        };
        process.budgets.recordMembersRead(this.now);
        return process;
    }

    private killProcesses(share: number): void {
        const downMs = this.random() * 1500;
        for (const vm of this.vms) {
            if (vm.process !== undefined && this.random() < share) {
                vm.process = undefined;
                vm.startAt = this.now + downMs;
            }
        }
    }

    /** Sends a request to a running VM, which repeats a failed one as often as its budget allows, up to four times. */
    private receiveRequest(isFailing: boolean): void {
        this.requests.push(this.now);
        const running = this.vms.filter(({ process }) => process !== undefined);
        const total = running.reduce((sum, { weight }) => sum + weight, 0);
        let left = this.random() * total;
        const vm = running.find(({ weight }) => (left -= weight) <= 0);
        if (vm?.process === undefined) {
            return;
        }
        const budget = vm.process.budgets.read("s");
        budget.recordRequest(this.now);
        for (let retries = 0; isFailing && retries < 4; retries += 1) {
            const claim = budget.claimRetry(this.now);
            if (claim === undefined) {
                return;
            }
            const isLate = this.random() < (this.options.lateShare ?? 0.02);
            const delayMs = this.random() * (isLate ? 4000 : 20);
            this.underway.push({ at: this.now + delayMs, claim });
        }
    }

    private countKnown(process: Process): number {
        const known = this.vms.filter(({ knownAt }) => this.now >= knownAt).length;
        return this.now >= process.knowsAllAt ? known : Math.min(4, known);
    }

    /** Records the arrival of retries that are due. Those of killed processes arrive as well. */
    private receiveArrivals(): void {
        for (const { at, claim } of this.underway.filter(({ at }) => at <= this.now)) {
            this.arrivals.push(at);
            claim.confirm(this.now);
        }
        this.underway = this.underway.filter(({ at }) => at > this.now);
    }
}

/** Counts the times in the window that ends at a time. */
function countBetween(times: readonly number[], end: number, windowMs: number): number {
    return findFirstAfter(times, end) - findFirstAfter(times, end - windowMs);
}

/** Finds the index of the first time after another one in ascending times. */
function findFirstAfter(times: readonly number[], after: number): number {
    let low = 0;
    let high = times.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if (times[middle]! <= after) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
