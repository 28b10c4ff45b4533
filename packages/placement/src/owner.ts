import type {
    EngineCounts,
    EngineReport,
    EvictOutcome,
    GrantedEngine,
    OwnerCommand,
    OwnerEvent,
    OwnerOptions,
} from "./events.js";
import { createFence } from "./fence.js";
import { LeaseTable, type LeaseUse } from "./leases.js";
import { applyReportedModels, createEngine, type OwnedEngine, type Slot } from "./owned.js";
import type { EngineSummary, LoadOutcome } from "./types.js";

const defaultLeaseMs = 3000;
const defaultReportLagMs = 1000;

/** Minimum time between two claims of an engine, also after another owner has claimed it, in milliseconds. */
const claimBackoffMs = 1000;

/**
 * Owns engines: leases their loaded models to gateways, and evicts a model only when no request can be using it.
 * Eviction has two phases. The owner first removes the model from the grant. It then waits until every gateway has
 * either confirmed that grant with no request running, or lost its lease and the engine itself reports no running
 * requests. See docs/design/leases.md.
 */
export class Owner {
    private readonly engines = new Map<string, OwnedEngine>();
    private readonly leases: LeaseTable;
    private readonly leaseMs: number;
    private readonly reportLagMs: number;
    private readonly identity: string;
    private version = 1;

    constructor(options: OwnerOptions) {
        this.identity = options.identity;
        this.leaseMs = options.leaseMs ?? defaultLeaseMs;
        this.reportLagMs = options.reportLagMs ?? defaultReportLagMs;
        this.leases = new LeaseTable(this.leaseMs);
    }

    /** Handles one event and returns the resulting commands. */
    decide(event: OwnerEvent, now: number): OwnerCommand[] {
        const versionBefore = this.version;
        const commands = this.receive(event, now);
        this.expireLeases(now);
        for (const engine of this.engines.values()) {
            this.claim(engine, now, commands);
            this.evictReleased(engine, now, commands);
        }
        if (this.version !== versionBefore) {
            commands.push({ type: "publish" });
        }
        return commands;
    }

    /** Version of the grant; increases with every change. */
    get grantVersion(): number {
        return this.version;
    }

    /** Returns the engines and models that are granted to every gateway. */
    listGranted(): GrantedEngine[] {
        const granted: GrantedEngine[] = [];
        for (const engine of this.engines.values()) {
            if (engine.fence === undefined || engine.instance === undefined) {
                continue;
            }
            const models = [...engine.models].filter(([, slot]) => slot.state === "loaded").map(([model]) => model);
            const { id, address, instance, fence, batchRoom, isLeaving } = engine;
            granted.push({
                id,
                address,
                instance,
                fence,
                batchRoom,
                isLeaving,
                models,
            });
        }
        return granted;
    }

    /** Returns the number of requests on every engine, as reported by the gateways. */
    listCounts(): EngineCounts[] {
        return [...this.engines.keys()].map(id => ({ id, ...this.leases.readInFlight(id) }));
    }

    /** Returns the state of every claimed engine for the placer. */
    listSummaries(): EngineSummary[] {
        const summaries: EngineSummary[] = [];
        for (const engine of this.engines.values()) {
            if (engine.fence === undefined) {
                continue;
            }
            const inFlight = this.leases.readInFlight(engine.id);
            summaries.push({
                id: engine.id,
                slots: engine.slots,
                batchRoom: engine.batchRoom,
                isLeaving: engine.isLeaving,
                inFlight: inFlight.paying + inFlight.trial,
                models: [...engine.models].map(([model, slot]) => ({
                    model,
                    state: slot.state,
                    inUse: this.leases.readUses(engine.id, model),
                })),
            });
        }
        return summaries;
    }

    listOwned(): string[] {
        return [...this.engines.keys()];
    }

    private receive(event: OwnerEvent, now: number): OwnerCommand[] {
        switch (event.type) {
            case "own":
                this.addEngine(event.engineId, event.address);
                return [];
            case "disown":
                return this.removeEngine(event.engineId);
            case "report":
                return this.receiveReport(event.engineId, event.report, now);
            case "claimed":
                this.receiveClaimed(event.engineId, event.fence, now);
                return [];
            case "fenced":
                return this.receiveFenced(event.engineId, now);
            case "leaving":
                this.receiveLeaving(event.engineId);
                return [];
            case "renew":
                this.leases.renew(event.gateway, event.grantVersion, event.uses, now);
                this.receiveUnconfirmed(event.unsure, now);
                return [];
            case "order":
                return this.receiveOrder(event.action, event.engineId, event.model, now);
            case "loadEnded":
                this.receiveLoadEnded(event.engineId, event.model, event.outcome, now);
                return [];
            case "evictEnded":
                this.receiveEvictEnded(event.engineId, event.model, event.outcome, now);
                return [];
            case "tick":
                return [];
        }
    }

    // Ownership.

    private addEngine(engineId: string, address: string): void {
        const known = this.engines.get(engineId);
        if (known?.address === address) {
            return;
        }
        this.engines.set(engineId, createEngine(engineId, address));
        this.version++;
    }

    private removeEngine(engineId: string): OwnerCommand[] {
        const engine = this.engines.get(engineId);
        if (engine === undefined) {
            return [];
        }
        this.engines.delete(engineId);
        this.version++;
        return refuseEvictions(engine);
    }

    private claim(engine: OwnedEngine, now: number, commands: OwnerCommand[]): void {
        const isNeeded = engine.fence === undefined || engine.mustReclaim;
        if (
            !isNeeded || engine.claimingFence !== undefined || engine.instance === undefined || now < engine.nextClaimAt
        ) {
            return;
        }
        engine.claimingFence = createFence(Math.max(engine.reportedFence, engine.fence ?? 0), this.identity);
        engine.nextClaimAt = now + claimBackoffMs;
        commands.push({ type: "claim", engineId: engine.id, address: engine.address, fence: engine.claimingFence });
    }

    private receiveClaimed(engineId: string, fence: number, now: number): void {
        const engine = this.engines.get(engineId);
        if (engine?.claimingFence !== fence) {
            return;
        }
        const isTakeOver = engine.fence === undefined;
        engine.claimingFence = undefined;
        engine.mustReclaim = false;
        engine.fence = fence;
        this.version++;
        for (const slot of engine.models.values()) {
            // The new token voids orders that carry the previous one.
            slot.isEvictionPending = slot.state === "evicting";
        }
        if (!isTakeOver) {
            return;
        }
        // The previous owner's leases expire by then. Requests under them show in a report requested after that time.
        engine.noEvictionBefore = now + this.leaseMs;
        for (const slot of engine.models.values()) {
            slot.uncertainAt = Math.max(slot.uncertainAt, engine.noEvictionBefore);
        }
    }

    /** Another owner has claimed the engine: this owner sends no orders and grants no leases until it reclaims it. */
    private receiveFenced(engineId: string, now: number): OwnerCommand[] {
        const engine = this.engines.get(engineId);
        if (engine === undefined) {
            return [];
        }
        const refusals = refuseEvictions(engine);
        engine.fence = undefined;
        engine.claimingFence = undefined;
        engine.mustReclaim = false;
        engine.instance = undefined;
        engine.nextClaimAt = now + claimBackoffMs;
        engine.models.clear();
        this.version++;
        return refusals;
    }

    // Engine reports.

    private receiveReport(engineId: string, report: EngineReport, now: number): OwnerCommand[] {
        const engine = this.engines.get(engineId);
        if (engine === undefined || report.askedAt < engine.reportAskedAt) {
            return [];
        }
        engine.reportAskedAt = report.askedAt;
        engine.reportedFence = report.fence;
        if (engine.instance !== report.instance) {
            this.receiveNewInstance(engine, report);
        }
        if (engine.fence !== undefined && report.fence > engine.fence) {
            // Engines that ignore tokens still report them, so an owner that was paused learns that it lost the engine.
            return this.receiveFenced(engineId, now);
        }
        const isLeaving = engine.isLeaving || report.isLeaving;
        if (engine.isLeaving !== isLeaving || engine.batchRoom !== report.batchRoom) {
            this.version++;
        }
        engine.isLeaving = isLeaving;
        engine.slots = report.slots;
        engine.batchRoom = report.batchRoom;
        if (applyReportedModels(engine, report)) {
            this.version++;
        }
        return [];
    }

    /** A newly started engine process runs no requests, so no uncertainty about the previous process remains. */
    private receiveNewInstance(engine: OwnedEngine, report: EngineReport): void {
        const isRestart = engine.instance !== undefined;
        engine.instance = report.instance;
        engine.isLeaving = report.isLeaving;
        engine.models.clear();
        engine.evictedAt.clear();
        if (isRestart) {
            engine.fence = undefined;
            engine.claimingFence = undefined;
            engine.nextClaimAt = 0;
        }
        this.version++;
    }

    private receiveLeaving(engineId: string): void {
        const engine = this.engines.get(engineId);
        if (engine !== undefined && !engine.isLeaving) {
            engine.isLeaving = true;
            this.version++;
        }
    }

    // Leases.

    private receiveUnconfirmed(unsure: readonly LeaseUse[], now: number): void {
        for (const { engineId, model } of unsure) {
            const slot = this.engines.get(engineId)?.models.get(model);
            if (slot !== undefined) {
                slot.uncertainAt = Math.max(slot.uncertainAt, now);
            }
        }
    }

    /** A gateway whose lease has expired may have started requests that it did not report. */
    private expireLeases(now: number): void {
        if (this.leases.expire(now) === 0) {
            return;
        }
        for (const engine of this.engines.values()) {
            for (const slot of engine.models.values()) {
                slot.uncertainAt = Math.max(slot.uncertainAt, now);
            }
        }
    }

    // Orders.

    private receiveOrder(action: "load" | "evict", engineId: string, model: string, now: number): OwnerCommand[] {
        const engine = this.engines.get(engineId);
        if (engine?.fence === undefined) {
            return [{ type: "refuse", engineId, model }];
        }
        return action === "load"
            ? this.startLoad(engine, engine.fence, model, now)
            : this.startRevocation(engine, model);
    }

    private startLoad(engine: OwnedEngine, fence: number, model: string, now: number): OwnerCommand[] {
        const slot = engine.models.get(model);
        if (slot?.state === "revoking" && !slot.isEvictionPending) {
            slot.state = "loaded";
            this.version++;
        }
        if (slot !== undefined || engine.isLeaving || engine.models.size >= engine.slots) {
            return [{ type: "refuse", engineId: engine.id, model }];
        }
        engine.models.set(model, {
            state: "loading",
            running: 0,
            revokedVersion: 0,
            uncertainAt: -Infinity,
            changedAt: now,
            isEvictionPending: false,
        });
        return [{ type: "load", engineId: engine.id, address: engine.address, model, fence }];
    }

    private startRevocation(engine: OwnedEngine, model: string): OwnerCommand[] {
        const slot = engine.models.get(model);
        if (slot?.state !== "loaded") {
            return [];
        }
        slot.state = "revoking";
        slot.revokedVersion = ++this.version;
        return [];
    }

    private receiveLoadEnded(engineId: string, model: string, outcome: LoadOutcome, now: number): void {
        const models = this.engines.get(engineId)?.models;
        const slot = models?.get(model);
        if (models === undefined || slot?.state !== "loading") {
            return;
        }
        if (outcome === "loaded") {
            models.set(model, { ...slot, state: "loaded", changedAt: now });
        }
        else {
            models.delete(model);
        }
        this.version++;
    }

    private evictReleased(engine: OwnedEngine, now: number, commands: OwnerCommand[]): void {
        if (engine.fence === undefined || engine.mustReclaim || now < engine.noEvictionBefore) {
            return;
        }
        for (const [model, slot] of engine.models) {
            if (slot.state === "revoking" && this.isReleased(engine, model, slot)) {
                slot.state = "evicting";
                slot.isEvictionPending = true;
                commands.push({
                    type: "evict",
                    engineId: engine.id,
                    address: engine.address,
                    model,
                    fence: engine.fence,
                });
            }
        }
    }

    private isReleased(engine: OwnedEngine, model: string, slot: Slot): boolean {
        if (!this.leases.isReleased(engine.id, model, slot.revokedVersion)) {
            return false;
        }
        if (slot.uncertainAt === -Infinity) {
            return true;
        }
        return engine.reportAskedAt >= slot.uncertainAt + this.reportLagMs && slot.running === 0;
    }

    private receiveEvictEnded(engineId: string, model: string, outcome: EvictOutcome, now: number): void {
        const engine = this.engines.get(engineId);
        const slot = engine?.models.get(model);
        if (engine === undefined || slot?.state !== "evicting") {
            return;
        }
        switch (outcome) {
            case "done":
                engine.models.delete(model);
                engine.evictedAt.set(model, now);
                this.version++;
                return;
            case "failed":
                slot.isEvictionPending = false;
                slot.state = "revoking";
                return;
            case "unknown":
                // The engine must hold a higher token, which voids the delayed order, before the model is leased again.
                slot.state = "revoking";
                engine.mustReclaim = true;
        }
    }
}

/**
 * Reports the open evictions as not carried out: the placer orders no other eviction until then, and an owner that has
 * lost its engine cannot carry them out.
 */
function refuseEvictions(engine: OwnedEngine): OwnerCommand[] {
    return [...engine.models]
        .filter(([, slot]) => slot.state === "revoking" || slot.state === "evicting")
        .map(([model]) => ({ type: "refuse", engineId: engine.id, model }));
}
