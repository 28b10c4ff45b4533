import { FleetView } from "@radishreel/fleet";
import type { Account, Route, Routing } from "@radishreel/routing";
import * as assert from "uvu/assert";
import { type AccountBounds, AccountGuard } from "../src/accounts/index.js";
import { ClusterState } from "../src/knowledge/cluster.js";
import type { PeerMessage } from "../src/links/messages.js";
import type { CallerDemand, ClusterChange } from "../src/ports.js";
import { findQuota, type QuotaMessage, Quotas } from "../src/quotas/index.js";
import { createSilentLog } from "./fixtures.js";
import { SimulatedNetwork, SimulatedProcess } from "./network.js";

/** How long the store holds a read open, how long a VM waits beyond that, and the pause between reads, in ms. */
const readWaitMs = 1000;
const responseTimeoutMs = 700;
const readPauseMs = 60;

const storeDelayMs = 2;
const housekeepingMs = 250;

/** Limits as an operator sets them. */
export const bounds: AccountBounds = {
    isRevocationStrict: true,
    revocationMs: 5000,
    configurationMs: 3000,
    quota: { windowMs: 8000, overage: 0.1, slack: 110_000 },
};

const route: Route = {
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: "safe",
    targets: [{ service: "s", weight: 1 }],
    timeoutMs: 5000,
    aimMs: 100,
    priority: 0,
    maxAttempts: 1,
    isResumable: false,
};

/** A version of the configuration, and when the store acknowledged it. */
interface AckedVersion {
    readonly routing: Routing;
    readonly position: number;
    readonly ackedAt: number;
}

/** A request that reached an upstream. */
export interface ArrivedRequest {
    readonly vm: string;
    readonly key: string;
    readonly account: string;
    readonly cost: number;
    /** When the caller sent the request. */
    readonly sentAt: number;
    readonly arrivedAt: number;
}

/** A request that was refused. */
export interface RefusedRequest {
    readonly vm: string;
    readonly key: string;
    readonly cost: number;
    readonly status: number;
    readonly reason: string;
    readonly at: number;
}

/** One process of a VM, with its account guard and the configuration that it has read. */
class AccountVm extends SimulatedProcess {
    readonly cluster: ClusterState;
    readonly guard: AccountGuard;
    readonly quotas: Quotas;

    constructor(readonly world: AccountWorld, vm: string) {
        super(world, vm);
        const view = new FleetView();
        const readSteady = (): number => this.readSteady();
        this.cluster = new ClusterState({
            view,
            log: createSilentLog(readSteady),
            readTime: readSteady,
            onChange: () => {},
            onUpstreamGone: () => {},
            onMember: () => {},
        });
        const timers = this.createTimers();
        this.quotas = new Quotas({
            vm,
            bounds: bounds.quota,
            readBoot: () => this.bootClock.read(),
            timers,
            listCandidates: () => [vm, ...world.listLinked(vm)],
            countVms: () => world.vms.length,
            isNeeded: () => this.guard.hasQuotas,
            findLimit: key => findQuota(key, this.guard, view.limits),
            send: (to, message) => world.send(this, to, message),
        });
        this.guard = new AccountGuard({
            bounds,
            cluster: this.cluster,
            readBoot: () => this.bootClock.read(),
            isReading: () => world.isReader(vm),
            listConfirmers: () => world.listConfirmers(vm),
            quotas: this.quotas,
            send: (to, message) => world.send(this, to, message),
            onVerdict: () => {},
            timers,
        });
        this.runHousekeeping();
        void this.follow();
    }

    override removeVm(vm: string): void {
        this.quotas.removeVm(vm);
    }

    override receive(from: string, message: PeerMessage): void {
        if (message.type === "changes") {
            this.cluster.applyChanges(message.changes, from);
            return;
        }
        if (message.type === "confirmQuery" || message.type === "confirmation") {
            this.guard.receiveMessage(from, message);
            return;
        }
        this.quotas.receiveMessage(from, message as QuotaMessage);
    }

    /** Serves a request, which waits in a queue between the check of its account and its send. */
    async serve(key: string, cost: number, queueMs: number): Promise<void> {
        const { world } = this;
        const sentAt = world.schedule.now;
        const demand: CallerDemand = {
            requestId: "r",
            key: { kind: "key", key },
            budgetMs: undefined,
            model: undefined,
            tokens: cost,
            lastEventId: undefined,
        };
        const record = (status: number, reason: string): number =>
            world.refused.push({ vm: this.vm, key, cost, status, reason, at: world.schedule.now });
        if (this.cluster.routes === undefined) {
            record(503, "noConfiguration");
            return;
        }
        const found = await this.guard.resolveAccount(route, demand);
        if (found.isErr()) {
            record(found.error.status, found.error.reason);
            return;
        }
        const claim = this.guard.createClaim(found.value, demand);
        const refusal = await this.guard.claimQuota(claim);
        if (refusal !== undefined) {
            record(refusal.status, refusal.reason);
            return;
        }
        const request = { route, demand, runs: 0 };
        const identity = this.guard.findIdentity(request);
        await this.wait(queueMs);
        if (this.guard.findRefusal(request) === undefined && this.guard.hasIdentity(request, identity)) {
            const arrivedAt = world.schedule.now;
            const account = identity?.account ?? "";
            world.arrived.push({ vm: this.vm, key, account, cost, sentAt, arrivedAt });
            return;
        }
        this.guard.releaseQuota(claim);
        record(this.guard.findRefusal(request)?.status ?? 0, "withheld");
    }

    private runHousekeeping(): void {
        this.guard.update();
        this.quotas.update();
        this.quotas.expireOld();
        this.world.schedule.add(housekeepingMs, () => this.schedule(() => this.runHousekeeping()));
    }

    /** Reads the configuration repeatedly while this VM is a reader or has no configuration. */
    private async follow(): Promise<void> {
        const { world } = this;
        let backoffMs = 100;
        for (;;) {
            if (this.cluster.routes !== undefined && !world.isReader(this.vm)) {
                await this.wait(housekeepingMs);
                continue;
            }
            const readStartedAt = this.bootClock.read();
            const ownPosition = this.cluster.findRouting()?.position ?? -1;
            const result = await this.read(ownPosition);
            if (result === undefined) {
                await this.wait(backoffMs);
                backoffMs = Math.min(500, backoffMs * 2);
                continue;
            }
            backoffMs = 100;
            if (result.changes.length > 0) {
                this.cluster.applyChanges(result.changes);
                world.broadcast(this, { type: "changes", changes: [...result.changes] });
            }
            const hasWaited = result.changes.length === 0 && this.bootClock.read() - readStartedAt >= readWaitMs;
            this.guard.recordConfirmed(hasWaited ? readStartedAt + readWaitMs : readStartedAt);
            await this.wait(readPauseMs);
        }
    }

    private async read(ownPosition: number): Promise<{ changes: readonly ClusterChange[]; } | undefined> {
        const { world } = this;
        const startedAt = world.schedule.now;
        await this.wait(storeDelayMs);
        for (;;) {
            if (world.cutOff.has(this.vm)) {
                await this.wait(Math.max(1, startedAt + readWaitMs + responseTimeoutMs - world.schedule.now));
                return undefined;
            }
            const newest = world.versions.at(-1);
            const isNew = newest !== undefined && newest.position > ownPosition;
            if (isNew || world.schedule.now - startedAt >= readWaitMs) {
                const changes: ClusterChange[] = isNew
                    ? [{ kind: "routing", routing: newest.routing, position: newest.position }]
                    : [];
                await this.wait(storeDelayMs);
                return { changes };
            }
            await this.wait(10);
        }
    }
}

/** VMs in data centres, the store, and the paths between them, in simulated time. */
export class AccountWorld extends SimulatedNetwork<AccountVm> {
    readonly versions: AckedVersion[] = [];
    readonly arrived: ArrivedRequest[] = [];
    readonly refused: RefusedRequest[] = [];
    /** VMs whose calls do not reach the store. */
    readonly cutOff = new Set<string>();
    /** Whether broadcasts are lost, so that VMs only learn of a configuration if they query other VMs. */
    losesBroadcasts = false;

    constructor(vms: readonly string[], private readonly readDataCentre: (vm: string) => string) {
        super(vms);
    }

    /** Starts all VMs, and waits until the quota balances are full. */
    async start(accounts: readonly Account[]): Promise<void> {
        this.setAccounts(accounts);
        for (const vm of this.vms) {
            this.startVm(vm);
        }
        await this.schedule.advance(5000);
    }

    startVm(vm: string): void {
        this.kill(vm);
        this.startProcess(new AccountVm(this, vm));
    }

    /** Writes a configuration with these accounts to the store. */
    setAccounts(accounts: readonly Account[]): void {
        const position = this.versions.length;
        const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
        const routing = { version: position, routes: [route], services: [], limits, accounts: [...accounts] };
        this.versions.push({ routing, position, ackedAt: this.schedule.now });
    }

    /** Whether a VM reads the store: the first VM of a data centre that reaches the store does, or all if none does. */
    isReader(vm: string): boolean {
        return this.findReader(vm) === vm || this.findReader(vm) === undefined;
    }

    listConfirmers(vm: string): string[] {
        const reader = this.findReader(vm);
        const linked = this.listLinked(vm);
        if (reader !== undefined && reader !== vm && linked.includes(reader)) {
            return [reader];
        }
        return linked.slice(-2);
    }

    private findReader(vm: string): string | undefined {
        return this.vms.find(other =>
            this.processes.has(other) && !this.cutOff.has(other)
            && this.readDataCentre(other) === this.readDataCentre(vm)
        );
    }

    override broadcast(from: AccountVm, message: PeerMessage): void {
        if (!this.losesBroadcasts) {
            super.broadcast(from, message);
        }
    }

    /** Disconnects VMs from all others, and from the store if `isFromStore`. */
    closePaths(vms: readonly string[], isFromStore: boolean): void {
        this.closePathsOf(vms);
        if (isFromStore) {
            vms.forEach(vm => this.cutOff.add(vm));
        }
    }

    override openPaths(): void {
        this.cutOff.clear();
        super.openPaths();
    }

    /**
     * Checks that no request ran with a key revoked longer ago than allowed, and that each ran under its key's account.
     */
    checkKeys(): void {
        for (const request of this.arrived) {
            const requestText = JSON.stringify(request);
            // A key may also be added while a request with it waits.
            const versions = this.listInForce(request.sentAt, request.arrivedAt, bounds.revocationMs);
            const holders = versions.flatMap(({ routing }) => listHolders(routing, request.key));
            assert.ok(holders.length > 0, `request ran with a revoked key: ${requestText}`);
            assert.ok(
                holders.includes(request.account),
                `request ran under account ${request.account}, not ${holders.join(", ")}: ${requestText}`,
            );
        }
    }

    /** Checks that no request got 401 for a key that is in each configuration that may have been in force. */
    checkDenials(): void {
        for (const { key, status, at } of this.refused.filter(refusal => refusal.status === 401)) {
            const versions = this.listInForce(at, at, bounds.configurationMs);
            const isHeldByAll = versions.every(({ routing }) => listHolders(routing, key).length > 0);
            assert.not(isHeldByAll, `status ${status} at ${at} ms for a key that all configurations contain`);
        }
    }

    /** Checks that no account used more within any window than its limit plus the overage that the operator allows. */
    checkQuotas(findLimit: (account: string) => { perSecond: number; burst: number; }): void {
        const { windowMs, overage, slack } = bounds.quota;
        const byAccount = new Map<string, ArrivedRequest[]>();
        for (const request of this.arrived) {
            byAccount.set(request.account, [...byAccount.get(request.account) ?? [], request]);
        }
        for (const [account, requests] of byAccount) {
            const { perSecond, burst } = findLimit(account);
            const maxUsed = (perSecond * windowMs / 1000 + burst) * (1 + overage) + slack;
            for (const { sentAt } of requests) {
                const requestsInWindow = requests.filter(each =>
                    each.sentAt >= sentAt && each.arrivedAt <= sentAt + windowMs
                );
                const used = requestsInWindow.reduce((sum, { cost }) => sum + cost, 0);
                assert.ok(used <= maxUsed, `account ${account} used ${used} of ${maxUsed} tokens from ${sentAt} ms on`);
            }
        }
    }

    /** Versions that may have been in force between two times: those replaced at most `ms` before the first. */
    private listInForce(from: number, until: number, ms: number): AckedVersion[] {
        return this.versions.filter((version, index) => {
            const next = this.versions[index + 1];
            return version.ackedAt <= until && (next === undefined || next.ackedAt + ms >= from);
        });
    }
}

function listHolders(routing: Routing, key: string): string[] {
    return (routing.accounts ?? []).filter(({ keys }) => keys.includes(key)).map(({ name }) => name);
}
