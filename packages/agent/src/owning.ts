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
    /** What the placer must know of the owned engines has changed. */
    readonly onSummaries: (summaries: EngineSummary[]) => void;
    readonly onLoadEnded: (engineId: string, model: string, outcome: LoadOutcome) => void;
    /** An engine said how it is. */
    readonly onStatus: (engineId: string, instance: string, state: "live" | "leaving") => void;
}

interface GatewayState {
    /** Last renewal that was answered. */
    sequence: number;
    /** Renewals answered since counts were last sent. */
    sinceCounts: number;
    /** Counts that were last sent, by engine. */
    readonly toldCounts: Map<string, string>;
}

/** Interval at which the owner looks at its clock, in milliseconds. */
const tickMs = 200;

/** An order is given up if its process was held up for longer than this between deciding and sending, in milliseconds. */
const maxHoldMs = 500;

/** Counts of requests on engines go to gateways with every so many renewals. */
const countsEvery = 2;

/** Drives the owner's decisions: asks engines how they are, gives orders, and leases to gateways. */
export class OwnerTask {
    private readonly owner: Owner;
    private readonly asked = new Set<string>();
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
            setInterval(() => this.askEngines(), this.options.settings.statusMs),
        );
    }

    /** Gives every engine up; other agents own them from now on. */
    stop(): void {
        this.isStopped = true;
        this.timers.forEach(timer => clearInterval(timer));
        for (const engineId of this.owner.listOwned()) {
            this.run({ type: "disown", engineId });
        }
    }

    /** The agents or the engines of the data centre have changed. */
    updateOwnership(): void {
        if (this.isStopped) {
            return;
        }
        const agents = this.options.listAgentIds();
        const engines = this.options.listEngines();
        const wanted = new Set<string>();
        for (const engine of engines) {
            if (findOwner(engine.id, agents) === this.options.settings.id) {
                wanted.add(engine.id);
                this.run({ type: "own", engineId: engine.id, address: engine.address });
                if (engine.isLeaving) {
                    this.run({ type: "leaving", engineId: engine.id });
                }
            }
        }
        for (const engineId of this.owner.listOwned()) {
            if (!wanted.has(engineId)) {
                this.run({ type: "disown", engineId });
            }
        }
        this.options.metrics.ownedEngines.set(wanted.size);
        this.askEngines();
    }

    /** Takes a gateway's renewal and answers it. */
    receiveRenewal(link: PeerLink, message: MessageOf<"renew">): void {
        const gateway = formatIncarnation(link.peer);
        this.run({
            type: "renew",
            gateway,
            grantVersion: message.grantVersion,
            uses: message.uses,
            unsure: message.unsure,
        });
        const state = this.gateways.get(gateway) ?? { sequence: 0, sinceCounts: 0, toldCounts: new Map() };
        this.gateways.set(gateway, state);
        state.sequence = message.sequence;
        state.sinceCounts++;
        const isChanged = message.grantVersion !== this.owner.grantVersion;
        link.send(this.createGrant(state, isChanged));
    }

    /** A gateway's link has ended; its leases lapse by themselves. */
    removeGateway(link: PeerLink): void {
        this.gateways.delete(formatIncarnation(link.peer));
    }

    /** Carries out an order of the placer. */
    receiveOrder(order: MessageOf<"order">): void {
        this.run({ type: "order", action: order.action, engineId: order.engineId, model: order.model });
    }

    listSummaries(): EngineSummary[] {
        return this.owner.listSummaries();
    }

    /** What has not changed since the gateway was told is left out. */
    private createGrant(state: GatewayState, isWhole: boolean): OutgoingMessage {
        const isCounting = state.sinceCounts >= countsEvery;
        state.sinceCounts = isCounting ? 0 : state.sinceCounts;
        const counts = isCounting ? this.listChangedCounts(state.toldCounts) : [];
        return {
            type: "grant",
            sequence: state.sequence,
            version: this.owner.grantVersion,
            leaseMs: this.options.settings.leaseMs,
            engines: isWhole ? this.owner.listGranted() : undefined,
            counts: counts.length > 0 ? counts : undefined,
        };
    }

    private listChangedCounts(told: Map<string, string>): EngineCounts[] {
        const changed = this.owner.listCounts().filter(({ id, paying, trial }) =>
            told.get(id) !== `${paying} ${trial}`
        );
        changed.forEach(({ id, paying, trial }) => told.set(id, `${paying} ${trial}`));
        return changed;
    }

    private run(event: OwnerEvent): void {
        for (const command of this.owner.decide(event, performance.now())) {
            this.carryOut(command);
        }
    }

    private carryOut(command: OwnerCommand): void {
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

    /** Changes made in one step are told as one. */
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

    private askEngines(): void {
        const addresses = new Map(this.options.listEngines().map(engine => [engine.id, engine.address]));
        for (const engineId of this.owner.listOwned()) {
            const address = addresses.get(engineId);
            if (address !== undefined && !this.asked.has(engineId)) {
                void this.askEngine(engineId, address);
            }
        }
    }

    /** At most one question is under way to an engine, so that a silent one is not flooded. */
    private async askEngine(engineId: string, address: string): Promise<void> {
        this.asked.add(engineId);
        const askedAt = performance.now();
        const status = await this.options.orders.readEngineStatus(address);
        this.asked.delete(engineId);
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

    /** Whether an order decided at `decidedAt` may still be sent: this process was not paused in between. */
    private createGuard(): () => boolean {
        const decidedAt = performance.now();
        const decidedAtWall = Date.now();
        return () => performance.now() - decidedAt < maxHoldMs && Math.abs(Date.now() - decidedAtWall) < maxHoldMs;
    }

    private async claim(engineId: string, address: string, fence: number): Promise<void> {
        const claimed = await this.options.orders.claimEngine(address, fence, this.createGuard());
        if (claimed.isErr()) {
            // Also when the engine may have taken it: the next claim carries a higher token.
            this.run({ type: "fenced", engineId });
            return;
        }
        this.options.logger.info("owns engine", { engine: engineId, fence });
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
