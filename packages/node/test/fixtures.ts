import { type EngineStatus, FleetView, idleLoad, type Upstream } from "@radishreel/fleet";
import type { Service } from "@radishreel/routing";
import { type AccountBounds, AccountGuard, type AccountGuardOptions } from "../src/accounts/index.js";
import { processTimers } from "../src/clock.js";
import { CrashGuard, type CrashGuardOptions } from "../src/crashes/index.js";
import { DecisionLog } from "../src/decisions.js";
import type { ClusterState } from "../src/knowledge/cluster.js";
import { Quotas, type QuotasOptions } from "../src/quotas/index.js";
import { RequestDigest } from "../src/requests/digest.js";
import { UpstreamLimiter } from "../src/requests/limiter.js";

/** Creates a log that discards its lines. */
export function createSilentLog(readTime: () => number): DecisionLog {
    return new DecisionLog({ program: "p", vm: "v", sink: { writableLength: 0, write: () => true }, readTime });
}

/** Creates the digest that identifies a request by its content. */
export function createDigest(path = "/", body = ""): RequestDigest {
    return new RequestDigest({ method: "POST", host: "h", path, account: undefined, body: Buffer.from(body) });
}

/** Creates a crash guard that knows no other VM. */
export function createCrashGuard(options: Partial<CrashGuardOptions> = {}): CrashGuard {
    const readTime = options.readTime ?? (() => performance.now());
    return new CrashGuard({
        vm: "v",
        incarnation: 1,
        view: new FleetView(),
        store: { appendCrashReport: () => Promise.resolve(true) },
        log: createSilentLog(readTime),
        readTime,
        send: () => false,
        broadcast: () => {},
        listPermitIssuers: () => ["v"],
        onChange: () => {},
        onUpstreamEnd: () => {},
        probe: async () => "silent",
        incarnations: { checkRunning: async () => "unproven" },
        ...options,
    });
}

/** Creates an account guard that knows no other VM and whose configuration was just confirmed to be the newest. */
export function createAccountGuard(cluster: ClusterState, options: Partial<AccountGuardOptions> = {}): AccountGuard {
    const readBoot = (): number => performance.now();
    const bounds: AccountBounds = {
        isRevocationStrict: true,
        revocationMs: 5000,
        configurationMs: 3000,
        quota: { windowMs: 8000, overage: 0.1, slack: 0 },
    };
    const guard = new AccountGuard({
        bounds,
        cluster,
        readBoot,
        isReading: () => true,
        listConfirmers: () => [],
        quotas: createQuotas({ bounds: bounds.quota }),
        send: () => false,
        onVerdict: () => {},
        ...options,
    });
    guard.recordConfirmed(readBoot());
    return guard;
}

/** Creates the quotas of a VM that knows no other VM. */
export function createQuotas(options: Partial<QuotasOptions> = {}): Quotas {
    return new Quotas({
        vm: "v",
        bounds: { windowMs: 8000, overage: 0.1, slack: 0 },
        readBoot: () => performance.now(),
        timers: processTimers,
        listCandidates: () => ["v"],
        countVms: () => 1,
        isNeeded: () => true,
        findLimit: () => undefined,
        send: () => false,
        ...options,
    });
}

/** Creates the limiter of a VM that knows no other VM. */
export function createLimiter(view: FleetView, quotas: Pick<Quotas, "claimAndWait"> = createQuotas()): UpstreamLimiter {
    return new UpstreamLimiter({
        limits: view.limits,
        quotas,
        readTime: () => performance.now(),
        readBoot: () => performance.now(),
        onVerdict: () => {},
    });
}

/** Creates the entry of an engine. */
export function createUpstream(id: string, upstream: Partial<Upstream> = {}): Upstream {
    return {
        id,
        name: id,
        bornAt: 0,
        service: "llm",
        address: "127.0.0.1:1",
        dataCentre: "z",
        softwareVersion: "v1",
        isLeaving: false,
        slots: 64,
        models: [{ name: "base", version: 1, adapters: [] }],
        sequence: 0,
        ...upstream,
    };
}

/** Creates the status of an engine from an owner that may send it orders. */
export function createEngineStatus(engine: string, status: Partial<EngineStatus> = {}): EngineStatus {
    return {
        engine,
        fence: 1,
        revision: 1,
        isOwned: true,
        canOrder: true,
        isReachable: true,
        held: {},
        coming: [],
        waitMs: 0,
        coldLoadMs: 250,
        warmLoadMs: 25,
        load: idleLoad,
        ...status,
    };
}

/** Service of the engines that {@link createUpstream} creates. */
export const engineService: Service = {
    name: "llm",
    maxConnections: 100,
    engine: { batchSlots: 64, kvTokens: 200_000, adapterPlaces: 9, weightsMb: 44_000, loadsPerSecond: 2, models: [] },
};
