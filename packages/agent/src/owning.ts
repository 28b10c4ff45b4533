import { findOwner, type KnownUpstream } from "@radishreel/membership";
import {
    type EngineCounts,
    type EngineSummary,
    type LoadOutcome,
    Owner,
    type OwnerCommand,
    type OwnerEvent,
} from "@radishreel/placement";
import type { MessageOf, OutgoingMessage } from "@radishreel/protocol";
import type { AgentMetrics, Logger } from "@radishreel/telemetry";
import type { OrderClient, OrderError } from "@radishreel/upstreams";
import { formatIncarnation } from "@radishreel/wire";
import type { Result } from "neverthrow";
import type { PeerLink } from "./peers.js";
import type { AgentSettings } from "./settings.js";

/** Options of {@link OwnerTask}. */
export interface OwnerTaskOptions {
    readonly settings: AgentSettings;
    readonly identity: string;
    readonly orders: OrderClient;
    readonly metrics: AgentMetrics;
    readonly logger: Logger;
    readonly listAgentIds: () => string[];
    readonly listEngines: () => KnownUpstream[];
    readonly listGatewayLinks: () => PeerLink[];
    /** Called when the summaries of the owned engines, which the placer needs, have changed. */
    readonly onSummaries: (summaries: EngineSummary[]) => void;
    readonly onLoadEnded: (engineId: string, model: string, outcome: LoadOutcome) => void;
    /** Called when an engine reported its status. */
    readonly onStatus: (engineId: string, instance: string, state: "live" | "leaving") => void;
}

interface GatewayState {
    /** Sequence of the last renewal that was acknowledged. */
    sequence: number;
    /** Number of renewals received since counts were last sent. */
    renewalsSinceCounts: number;
    /** Last counts sent, by engine id. */
    readonly lastSentCounts: Map<string, string>;
}

/** Interval of the owner's timer events, in milliseconds. */
const tickMs = 200;

/** Maximum time between deciding and sending an order, in milliseconds. After a longer process pause it is dropped. */
const maxOrderDelayMs = 500;

/** Number of renewals after which a grant includes the request counts of engines. */
const renewalsPerCounts = 2;

/** Drives the owner's decisions: polls the status of engines, sends orders to them and leases them to gateways. */
export class OwnerTask {
    private readonly owner: Owner;
    private readonly pendingStatusRequests = new Set<string>();
    private readonly gateways = new Map<string, GatewayState>();
    private readonly timers: NodeJS.Timeout[] = [];
    private isPublishing = false;
    private isStopped = false;

    constructor(private readonly options: OwnerTaskOptions) {
        const { leaseMs, reportLagMs } = options.settings;
        this.owner = new Owner({ identity: options.identity, leaseMs, reportLagMs });
    }

    start(): void {
        this.timers.push(
            setInterval(() => this.run({ type: "tick" }), tickMs),
            setInterval(() => this.askEngineStatuses(), this.options.settings.statusMs),
        );
    }

    /** Releases every engine; other agents own the engines from now on. */
    stop(): void {
        this.isStopped = true;
        this.timers.forEach(timer => clearInterval(timer));
        for (const engineId of this.owner.listOwned()) {
            this.run({ type: "disown", engineId });
        }
    }

    /** Applies a change of the agents or the engines of the data centre. */
    updateOwnership(): void {
        if (this.isStopped) {
            return;
        }
        const agents = this.options.listAgentIds();
        const engines = this.options.listEngines();
        const ownedIds = new Set<string>();
        for (const engine of engines) {
            if (findOwner(engine.id, agents) === this.options.settings.id) {
                ownedIds.add(engine.id);
                this.run({ type: "own", engineId: engine.id, address: engine.address });
                if (engine.isLeaving) {
                    this.run({ type: "leaving", engineId: engine.id });
                }
            }
        }
        for (const engineId of this.owner.listOwned()) {
            if (!ownedIds.has(engineId)) {
                this.run({ type: "disown", engineId });
            }
        }
        this.options.metrics.ownedEngines.set(ownedIds.size);
        this.askEngineStatuses();
    }

    /** Handles a gateway's renewal and replies with a grant. */
    receiveRenewal(link: PeerLink, message: MessageOf<"renew">): void {
        const gateway = formatIncarnation(link.peer);
        this.run({
            type: "renew",
            gateway,
            grantVersion: message.grantVersion,
            uses: message.uses,
            unsure: message.unsure,
        });
        const state = this.gateways.get(gateway) ?? { sequence: 0, renewalsSinceCounts: 0, lastSentCounts: new Map() };
        this.gateways.set(gateway, state);
        state.sequence = message.sequence;
        state.renewalsSinceCounts++;
        const isChanged = message.grantVersion !== this.owner.grantVersion;
        link.send(this.createGrant(state, isChanged));
    }

    /** Removes a gateway whose link has closed; its leases expire by themselves. */
    removeGateway(link: PeerLink): void {
        this.gateways.delete(formatIncarnation(link.peer));
    }

    /** Executes an order of the placer. */
    receiveOrder(order: MessageOf<"order">): void {
        this.run({ type: "order", action: order.action, engineId: order.engineId, model: order.model });
    }

    listSummaries(): EngineSummary[] {
        return this.owner.listSummaries();
    }

    /** Creates a grant. Counts are omitted if they have not changed since they were sent, engines unless `isWhole`. */
    private createGrant(state: GatewayState, isWhole: boolean): OutgoingMessage {
        const isCounting = state.renewalsSinceCounts >= renewalsPerCounts;
        state.renewalsSinceCounts = isCounting ? 0 : state.renewalsSinceCounts;
        const counts = isCounting ? this.listChangedCounts(state.lastSentCounts) : [];
        return {
            type: "grant",
            sequence: state.sequence,
            version: this.owner.grantVersion,
            leaseMs: this.options.settings.leaseMs,
            engines: isWhole ? this.owner.listGranted() : undefined,
            counts: counts.length > 0 ? counts : undefined,
        };
    }

    private listChangedCounts(lastSent: Map<string, string>): EngineCounts[] {
        const changed = this.owner.listCounts().filter(({ id, paying, trial }) =>
            lastSent.get(id) !== `${paying} ${trial}`
        );
        changed.forEach(({ id, paying, trial }) => lastSent.set(id, `${paying} ${trial}`));
        return changed;
    }

    private run(event: OwnerEvent): void {
        for (const command of this.owner.decide(event, performance.now())) {
            this.runCommand(command);
        }
    }

    private runCommand(command: OwnerCommand): void {
        switch (command.type) {
            case "publish":
                this.schedulePublish();
                return;
            case "claim":
                void this.claim(command.engineId, command.address, command.fence);
                return;
            case "load":
                void this.load(command.engineId, command.address, command.model, command.fence);
                return;
            case "evict":
                void this.evict(command.engineId, command.address, command.model, command.fence);
                return;
            case "refuse":
                this.options.onLoadEnded(command.engineId, command.model, "refused");
        }
    }

    /** Schedules one publication for all changes of the same event-loop step. */
    private schedulePublish(): void {
        if (this.isPublishing) {
            return;
        }
        this.isPublishing = true;
        setImmediate(() => {
            this.isPublishing = false;
            for (const link of this.options.listGatewayLinks()) {
                const state = this.gateways.get(formatIncarnation(link.peer));
                if (state !== undefined) {
                    link.send(this.createGrant(state, true));
                }
            }
            this.options.onSummaries(this.owner.listSummaries());
        });
    }

    // Engines.

    private askEngineStatuses(): void {
        const addresses = new Map(this.options.listEngines().map(engine => [engine.id, engine.address]));
        for (const engineId of this.owner.listOwned()) {
            const address = addresses.get(engineId);
            if (address !== undefined && !this.pendingStatusRequests.has(engineId)) {
                void this.askEngineStatus(engineId, address);
            }
        }
    }

    /** Requests an engine's status. One request per engine at a time, so that an unresponsive engine is not flooded. */
    private async askEngineStatus(engineId: string, address: string): Promise<void> {
        this.pendingStatusRequests.add(engineId);
        const askedAt = performance.now();
        const status = await this.options.orders.readEngineStatus(address);
        this.pendingStatusRequests.delete(engineId);
        if (status.isErr()) {
            return;
        }
        const { instance, state, fence, slots, batchRoom, adapters } = status.value;
        this.options.onStatus(engineId, instance, state);
        const isLeaving = state === "leaving";
        this.run({
            type: "report",
            engineId,
            report: { instance, isLeaving, fence, slots, batchRoom, adapters, askedAt },
        });
    }

    /** Returns a check whether an order decided now may still be sent: false after a process pause in between. */
    private createGuard(): () => boolean {
        const decidedAt = performance.now();
        const decidedAtWall = Date.now();
        return () =>
            performance.now() - decidedAt < maxOrderDelayMs && Math.abs(Date.now() - decidedAtWall) < maxOrderDelayMs;
    }

    private async claim(engineId: string, address: string, fence: number): Promise<void> {
        const claimed = await this.options.orders.claimEngine(address, fence, this.createGuard());
        if (claimed.isErr()) {
            // Also after an unknown outcome: the next claim carries a higher fencing token.
            this.run({ type: "fenced", engineId });
            return;
        }
        this.options.logger.info("claimed engine", { engine: engineId, fence });
        this.run({ type: "claimed", engineId, fence });
    }

    private async load(engineId: string, address: string, model: string, fence: number): Promise<void> {
        const loaded = await this.options.orders.loadModel(address, model, fence, this.createGuard());
        const outcome: LoadOutcome = loaded.isOk() ? "loaded" : "failed";
        this.options.metrics.loads.inc({ outcome });
        this.receiveFence(engineId, loaded);
        this.run({ type: "loadEnded", engineId, model, outcome });
        this.options.onLoadEnded(engineId, model, outcome);
    }

    private async evict(engineId: string, address: string, model: string, fence: number): Promise<void> {
        const evicted = await this.options.orders.evictModel(address, model, fence, this.createGuard());
        this.options.metrics.evictions.inc({ outcome: evicted.isOk() ? "done" : evicted.error.kind });
        this.receiveFence(engineId, evicted);
        const outcome = evicted.isOk() ? "done" : evicted.error.kind === "unknown" ? "unknown" : "failed";
        this.run({ type: "evictEnded", engineId, model, outcome });
    }

    private receiveFence(engineId: string, result: Result<void, OrderError>): void {
        if (result.isErr() && result.error.kind === "staleFence") {
            this.options.logger.warn("another agent owns engine", { engine: engineId });
            this.run({ type: "fenced", engineId });
        }
    }
}
