import { FleetView } from "@radishreel/fleet";
import * as assert from "uvu/assert";
import { AnnouncementSharing } from "../src/knowledge/announcements.js";
import type { PeerMessage } from "../src/links/messages.js";
import type { LimitStatement } from "../src/ports.js";
import { findQuota, type QuotaMessage, Quotas } from "../src/quotas/index.js";
import { type LimitVerdict, UpstreamLimiter } from "../src/requests/limiter.js";
import { createSilentLog, createUpstream } from "./fixtures.js";
import { SimulatedNetwork, SimulatedProcess } from "./network.js";
import { createRandom } from "./random.js";

const housekeepingMs = 250;

/** Time between the check before a request is written and its arrival, in milliseconds. */
const arrivalDelayMs = 1;

/** Time after which a request chooses again if no coordinator decided its claim, in milliseconds. */
const undecidedPauseMs = 100;

/** Interval at which a waiting request checks whether its upstream is still limited, in milliseconds. */
const reviewIntervalMs = 100;

/** Time span over which the rule counts arrivals, and its tolerance. */
const windowMs = 4000;
const toleratedShare = 1.5;
const toleratedArrivals = 5;

/** Time after an upstream first names a limit until the rule applies, in milliseconds. */
const graceMs = 3000;

/** Age from which on a VM that received such a response counts as told, in milliseconds. */
const toldMs = 500;

/** The id of the only upstream. */
export const upstreamId = "s1";

/** A request that arrived at the upstream. */
interface Arrival {
    readonly vm: string;
    readonly at: number;
}

/** A limit that the upstream names from some time on; undefined names none. */
interface NamedLimit {
    readonly perSecond: number | undefined;
    readonly since: number;
}

/** One process of a VM with its quotas and announcements. */
class LimitVm extends SimulatedProcess {
    readonly view = new FleetView();
    readonly quotas: Quotas;
    readonly announcements: AnnouncementSharing;
    private readonly limiter: UpstreamLimiter;

    constructor(readonly world: LimitWorld, vm: string) {
        super(world, vm);
        const { view } = this;
        const readTime = (): number => this.readSteady();
        const readBoot = (): number => this.bootClock.read();
        this.view.updateUpstream(createUpstream(upstreamId, { service: "desk" }), 0);
        this.quotas = new Quotas({
            vm,
            bounds: { windowMs: 8000, overage: 0.1, slack: 0 },
            readBoot,
            timers: this.createTimers(),
            listCandidates: () => world.listCandidates(vm),
            countVms: () => world.vms.length,
            isNeeded: () => view.limits.count > 0,
            findLimit: key => findQuota(key, { findQuota: () => undefined }, view.limits),
            send: (to, message) => world.send(this, to, message),
        });
        this.announcements = new AnnouncementSharing({
            view,
            log: createSilentLog(readTime),
            readTime,
            broadcast: message => world.broadcast(this, message),
            isForwarding: () => true,
            onChange: () => this.quotas.update(),
            onBackoff: () => {},
            onUnreadableLimit: () => {},
        });
        this.limiter = new UpstreamLimiter({
            limits: view.limits,
            quotas: this.quotas,
            readTime,
            readBoot,
            onVerdict: verdict => world.recordVerdict(verdict),
        });
        this.runHousekeeping();
    }

    override receive(from: string, message: PeerMessage): void {
        if (message.type === "upstreamLimits") {
            this.announcements.receiveLimits(from, message.limits);
            return;
        }
        this.quotas.receiveMessage(from, message as QuotaMessage);
    }

    override removeVm(vm: string): void {
        this.quotas.removeVm(vm);
    }

    override createInitialMessages(): PeerMessage[] {
        return this.announcements.createInitialMessages();
    }

    /** Serves a request: waits for a part of the limit, opens a connection, and receives the response. */
    async serve(patienceMs: number, connectMs: number, workMs: number): Promise<void> {
        const deadlineAt = this.readSteady() + patienceMs;
        while (this.readSteady() < deadlineAt) {
            const limit = this.view.limits.find(upstreamId);
            const claim = limit === undefined
                ? undefined
                : this.limiter.claim(upstreamId, limit.perSecond, {
                    priority: 0,
                    patienceMs: deadlineAt - this.readSteady(),
                });
            const grant = claim === undefined ? undefined : await this.waitForGrant(claim);
            if (claim !== undefined && grant === undefined) {
                if (this.view.limits.readWaitMs(upstreamId, this.readSteady()) > deadlineAt - this.readSteady()) {
                    this.world.refused += 1;
                    return;
                }
                await this.wait(undecidedPauseMs);
                continue;
            }
            await this.wait(connectMs);
            if (!this.view.maySend(upstreamId, grant?.isValid === true, this.readSteady())) {
                grant?.release();
                continue;
            }
            await this.send(workMs);
            return;
        }
        this.world.refused += 1;
    }

    private async waitForGrant(claim: ReturnType<UpstreamLimiter["claim"]>) {
        for (;;) {
            const outcome = await Promise.race([
                claim.grant.then(grant => ({ grant })),
                this.wait(reviewIntervalMs).then(() => undefined),
            ]);
            if (outcome !== undefined) {
                return outcome.grant;
            }
            if (this.view.limits.find(upstreamId) === undefined) {
                claim.cancel();
                return undefined;
            }
        }
    }

    /** Sends a request and records what its response says. */
    private async send(workMs: number): Promise<void> {
        const { world } = this;
        const statements = this.view.limits.countStatements(upstreamId);
        const statement = await new Promise<LimitStatement>(resolve => {
            // Requests and responses under way are not held up by the suspension of their VM.
            world.schedule.add(arrivalDelayMs, () => {
                world.recordArrival(this.vm);
                world.schedule.add(workMs, () => {
                    const perSecond = world.readLimit();
                    const limit: LimitStatement = perSecond === undefined
                        ? { kind: "none" }
                        : { kind: "limited", perSecond };
                    world.schedule.add(arrivalDelayMs, () => this.schedule(() => resolve(limit)));
                });
            });
        });
        if (statement.kind === "limited") {
            world.recordTold(this.vm);
        }
        this.announcements.recordResponse(upstreamId, { limit: statement }, statements);
    }

    private runHousekeeping(): void {
        this.quotas.update();
        this.quotas.expireOld();
        this.world.schedule.add(housekeepingMs, () => this.schedule(() => this.runHousekeeping()));
    }
}

/** VMs that share one upstream, in simulated time. */
export class LimitWorld extends SimulatedNetwork<LimitVm> {
    private readonly arrivals: Arrival[] = [];
    private readonly toldAt = new Map<string, number>();
    private readonly limits: NamedLimit[] = [{ perSecond: undefined, since: 0 }];
    private readonly verdicts = new Map<LimitVerdict, number>();
    refused = 0;

    /** @param coordinators VMs that can coordinate quotas. @default all */
    constructor(vms: readonly string[], private readonly coordinators: readonly string[] = vms) {
        super(vms);
        vms.forEach(vm => this.startVm(vm));
    }

    startVm(vm: string): void {
        this.kill(vm);
        // The rule does not hold a VM to what its earlier process was told.
        this.toldAt.delete(vm);
        this.startProcess(new LimitVm(this, vm));
    }

    listCandidates(vm: string): string[] {
        const linked = new Set([vm, ...this.listLinked(vm)]);
        return this.coordinators.filter(coordinator => linked.has(coordinator));
    }

    /** Makes the upstream name a limit in each response from now on; undefined names none. */
    setLimit(perSecond: number | undefined): void {
        this.limits.push({ perSecond, since: this.schedule.now });
    }

    readLimit(): number | undefined {
        return this.limits.at(-1)!.perSecond;
    }

    recordArrival(vm: string): void {
        this.arrivals.push({ vm, at: this.schedule.now });
    }

    recordTold(vm: string): void {
        this.toldAt.set(vm, this.toldAt.get(vm) ?? this.schedule.now);
    }

    recordVerdict(verdict: LimitVerdict): void {
        this.verdicts.set(verdict, this.countVerdicts(verdict) + 1);
    }

    countVerdicts(verdict: LimitVerdict): number {
        return this.verdicts.get(verdict) ?? 0;
    }

    /** Number of arrivals between two times. */
    countArrivals(from: number, until: number): number {
        return this.arrivals.filter(({ at }) => at >= from && at < until).length;
    }

    /**
     * Sends requests to VMs for some time, at a rate over all of them.
     * @param random Numbers from 0 to 1.
     */
    async runRequests(vms: readonly string[], perSecond: number, ms: number, random: () => number): Promise<void> {
        const until = this.schedule.now + ms;
        while (this.schedule.now < until) {
            const vmProcess = this.processes.get(vms[Math.floor(random() * vms.length)]!);
            vmProcess?.schedule(() => void vmProcess.serve(3000, 1 + random() * 5, 5 + random() * 40));
            await this.schedule.advance(-Math.log(1 - random()) / perSecond * 1000);
        }
    }

    /** Checks that no window of the rule has more arrivals from VMs that were told than it tolerates. */
    checkArrivals(): void {
        const firstNamed = this.limits.find(({ perSecond }) => perSecond !== undefined)?.since ?? Infinity;
        const counted = this.arrivals.filter(({ vm, at }) =>
            at >= firstNamed + graceMs && at >= (this.toldAt.get(vm) ?? Infinity) + toldMs
        );
        for (const { at: from } of counted) {
            const tolerated = this.readTolerated(from, from + windowMs);
            const count = counted.filter(({ at }) => at >= from && at < from + windowMs).length;
            assert.ok(count <= tolerated, `${count} arrivals within 4 s from ${from} ms, tolerated are ${tolerated}`);
        }
    }

    /** Arrivals that the rule tolerates in a window; infinite while the limit changes or none is named. */
    private readTolerated(from: number, until: number): number {
        const inForce = this.limits.filter(({ since }, index) =>
            since < until && (this.limits[index + 1]?.since ?? Infinity) + graceMs > from
        );
        const highest = Math.max(...inForce.map(({ perSecond }) => perSecond ?? Infinity));
        return toleratedShare * highest * windowMs / 1000 + toleratedArrivals;
    }
}

export function listVms(count: number): string[] {
    return Array.from({ length: count }, (_value, index) => `v${index}`);
}

/** Lets the limit take effect at all VMs, before it is measured. */
export async function startLimit(world: LimitWorld, perSecond: number, vms: readonly string[]): Promise<void> {
    world.setLimit(perSecond);
    await world.runRequests(vms, Math.max(20, 3 * perSecond), 4000, createRandom(1));
}
