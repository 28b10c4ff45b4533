import { Owner, type OwnerCommand, type OwnerEvent } from "@radishreel/placement";
import TinyQueue from "tinyqueue";
import { LeaseHolder } from "../src/leases.js";
import { UseCounter } from "../src/uses.js";

/** Faults of one run of {@link LeaseSimulation}. */
export interface LeaseFaults {
    /** Whether the engine accepts orders with any fencing token. */
    readonly ignoresFence: boolean;
    /** Maximum delay of a message, in milliseconds. */
    readonly maxDelayMs: number;
    /** Share of orders whose outcome is lost. */
    readonly lostOutcomeShare: number;
}

/** Rules that a test breaks on purpose, to show that the simulation detects a violation. */
export interface BrokenRules {
    readonly evictsImmediately?: boolean;
}

const leaseMs = 300;
const reportLagMs = 50;
const maxOrderDelayMs = 50;
const models = ["a@1", "b@1", "c@1", "d@1"];
const engineId = "engine";

interface SimulatedEvent {
    readonly at: number;
    readonly order: number;
    readonly run: () => void;
}

interface Order {
    readonly type: "claim" | "load" | "evict";
    readonly model: string;
    readonly fence: number;
}

/** An engine that follows its protocol and records evictions of models in use. */
class SimulatedEngine {
    fence = 0;
    readonly loaded = new Set<string>();
    readonly running = new Map<string, number>();
    readonly unsafeEvictions: string[] = [];

    constructor(private readonly ignoresFence: boolean) {}

    run(order: Order): "done" | "stale" | "failed" {
        if (order.fence < this.fence && !this.ignoresFence) {
            return "stale";
        }
        this.fence = Math.max(this.fence, order.fence);
        if (order.type === "load") {
            if (this.loaded.size >= 2 && !this.loaded.has(order.model)) {
                return "failed";
            }
            this.loaded.add(order.model);
        }
        if (order.type === "evict") {
            if ((this.running.get(order.model) ?? 0) > 0) {
                this.unsafeEvictions.push(order.model);
            }
            this.loaded.delete(order.model);
        }
        return "done";
    }
}

interface SimulatedGateway {
    readonly name: string;
    readonly leases: LeaseHolder;
    readonly uses: UseCounter;
    sequence: number;
    readonly sentAt: Map<number, number>;
    /** Sequence of the last renewal that each agent has acknowledged. */
    readonly acknowledged: Map<string, number>;
    pausedUntil: number;
}

interface SimulatedAgent {
    readonly name: string;
    readonly owner: Owner;
    owns: boolean;
    pausedUntil: number;
    /** Sequence of the last renewal received from each gateway. */
    readonly received: Map<string, number>;
}

/** Simulates two agents that may both believe they own one engine, and gateways that use it, in virtual time. */
export class LeaseSimulation {
    now = 0;
    dispatched = 0;
    evicted = 0;
    private readonly engine: SimulatedEngine;
    private readonly agents: SimulatedAgent[];
    private readonly gateways: SimulatedGateway[];
    private readonly events = new TinyQueue<SimulatedEvent>(
        [],
        (left, right) => left.at - right.at || left.order - right.order,
    );
    private readonly linkCutUntil = new Map<string, number>();
    private order = 0;

    constructor(
        private readonly random: () => number,
        private readonly faults: LeaseFaults,
        private readonly broken: BrokenRules = {},
    ) {
        this.engine = new SimulatedEngine(faults.ignoresFence);
        this.agents = ["one", "two"].map(name => ({
            name,
            owner: new Owner({ identity: name, leaseMs, reportLagMs }),
            owns: false,
            pausedUntil: 0,
            received: new Map(),
        }));
        this.gateways = ["g1", "g2"].map(name => ({
            name,
            leases: new LeaseHolder(),
            uses: new UseCounter(),
            sequence: 0,
            sentAt: new Map(),
            acknowledged: new Map(),
            pausedUntil: 0,
        }));
    }

    get unsafeEvictions(): readonly string[] {
        return this.engine.unsafeEvictions;
    }

    /** Runs for `durationMs` of virtual time with random faults. */
    run(durationMs: number): void {
        this.setOwner(0, true);
        for (let at = 10; at < durationMs; at += 10) {
            this.schedule(at, () => this.runStep());
        }
        for (;;) {
            const event = this.events.pop();
            if (event === undefined || event.at > durationMs) {
                return;
            }
            this.now = event.at;
            event.run();
        }
    }

    private runStep(): void {
        for (const agent of this.agents) {
            this.decide(agent, { type: "tick" });
            if (this.now % 50 === 0) {
                this.askEngineStatus(agent);
            }
            if (agent.owns && this.random() < 0.2) {
                const action = this.random() < 0.3 ? "load" : "evict";
                this.decide(agent, { type: "order", action, engineId, model: this.chooseModel() });
            }
        }
        for (const gateway of this.gateways) {
            if (this.now % 50 === 0) {
                this.renew(gateway);
            }
            if (this.random() < 0.3) {
                this.dispatch(gateway);
            }
        }
        this.runFault();
    }

    private chooseModel(): string {
        return models[Math.floor(this.random() * models.length)]!;
    }

    private runFault(): void {
        const draw = this.random();
        if (draw < 0.003) {
            this.agents[Math.floor(this.random() * 2)]!.pausedUntil = this.now + this.random() * 3 * leaseMs;
        }
        else if (draw < 0.006) {
            this.gateways[Math.floor(this.random() * 2)]!.pausedUntil = this.now + this.random() * 3 * leaseMs;
        }
        else if (draw < 0.009) {
            const index = Math.floor(this.random() * 2);
            this.setOwner(index, !this.agents[index]!.owns);
        }
        else if (draw < 0.015) {
            const agent = this.agents[Math.floor(this.random() * 2)]!;
            const gateway = this.gateways[Math.floor(this.random() * 2)]!;
            this.linkCutUntil.set(`${agent.name} ${gateway.name}`, this.now + this.random() * 3 * leaseMs);
        }
    }

    private setOwner(index: number, owns: boolean): void {
        const agent = this.agents[index]!;
        agent.owns = owns;
        this.decide(agent, owns ? { type: "own", engineId, address: engineId } : { type: "disown", engineId });
    }

    // Processes. A paused process receives its events when it resumes.

    private decide(agent: SimulatedAgent, event: OwnerEvent): void {
        if (this.now < agent.pausedUntil) {
            if (event.type !== "tick") {
                this.schedule(agent.pausedUntil, () => this.decide(agent, event));
            }
            return;
        }
        for (const command of agent.owner.decide(event, this.now)) {
            this.runCommand(agent, command);
        }
        if (this.broken.evictsImmediately && event.type === "order" && event.action === "evict") {
            this.sendOrder(agent, { type: "evict", model: event.model, fence: this.engine.fence }, () => {});
        }
    }

    private runCommand(agent: SimulatedAgent, command: OwnerCommand): void {
        switch (command.type) {
            case "claim":
                this.sendOrder(
                    agent,
                    { type: "claim", model: "", fence: command.fence },
                    result =>
                        this.decide(
                            agent,
                            result === "done"
                                ? { type: "claimed", engineId, fence: command.fence }
                                : { type: "fenced", engineId },
                        ),
                );
                return;
            case "load":
                this.sendOrder(agent, { type: "load", model: command.model, fence: command.fence }, result => {
                    this.decide(agent, {
                        type: "loadEnded",
                        engineId,
                        model: command.model,
                        outcome: result === "done" ? "loaded" : "failed",
                    });
                });
                return;
            case "evict":
                this.sendOrder(agent, { type: "evict", model: command.model, fence: command.fence }, result => {
                    this.evicted += result === "done" ? 1 : 0;
                    if (result === "stale") {
                        this.decide(agent, { type: "fenced", engineId });
                    }
                    const outcome = result === "done" ? "done" : result === "lost" ? "unknown" : "failed";
                    this.decide(agent, { type: "evictEnded", engineId, model: command.model, outcome });
                });
                return;
            case "publish":
                // The real agent does the same: it grants for the last renewal received, which may be old.
                this.gateways.forEach(gateway => this.sendGrant(agent, gateway, agent.received.get(gateway.name) ?? 0));
                return;
            case "refuse":
        }
    }

    /** An order may be sent late, may arrive late, and its outcome may be lost. */
    private sendOrder(
        agent: SimulatedAgent,
        order: Order,
        done: (result: "done" | "stale" | "failed" | "lost") => void,
    ): void {
        const decidedAt = this.now;
        const write = (): void => {
            if (this.now < agent.pausedUntil) {
                this.schedule(agent.pausedUntil, write);
                return;
            }
            if (this.now - decidedAt >= maxOrderDelayMs) {
                done("failed");
                return;
            }
            const isLost = this.random() < this.faults.lostOutcomeShare;
            const delayMs = isLost ? this.random() * 5 * leaseMs : this.readDelay();
            if (isLost) {
                this.schedule(this.now + 100, () => done("lost"));
            }
            this.schedule(this.now + delayMs, () => {
                const result = this.engine.run(order);
                if (!isLost) {
                    this.schedule(this.now + this.readDelay(), () => done(result));
                }
            });
        };
        this.schedule(this.now + this.readDelay(), write);
    }

    private askEngineStatus(agent: SimulatedAgent): void {
        if (this.now < agent.pausedUntil) {
            return;
        }
        const askedAt = this.now;
        this.schedule(this.now + this.readDelay(), () => {
            const report = {
                instance: "1",
                isLeaving: false,
                fence: this.engine.fence,
                slots: 2,
                batchRoom: 8,
                adapters: [...this.engine.loaded].map(model => ({
                    model,
                    running: this.engine.running.get(model) ?? 0,
                })),
                askedAt,
            };
            this.schedule(this.now + this.readDelay(), () => this.decide(agent, { type: "report", engineId, report }));
        });
    }

    // Leases.

    private renew(gateway: SimulatedGateway): void {
        if (this.now < gateway.pausedUntil) {
            return;
        }
        const sequence = ++gateway.sequence;
        gateway.sentAt.set(sequence, this.now);
        for (const agent of this.agents) {
            const uses = gateway.uses.list().filter(use => gateway.leases.mayOwn(agent.name, use.engineId));
            const unsure = gateway.uses.listUnconfirmed();
            const grantVersion = gateway.leases.readVersion(agent.name);
            this.sendBetween(agent, gateway, () => {
                this.receiveRenewal(agent, gateway, sequence, {
                    type: "renew",
                    gateway: gateway.name,
                    grantVersion,
                    uses,
                    unsure,
                });
            });
        }
    }

    private receiveRenewal(
        agent: SimulatedAgent,
        gateway: SimulatedGateway,
        sequence: number,
        event: OwnerEvent,
    ): void {
        if (this.now < agent.pausedUntil) {
            this.schedule(agent.pausedUntil, () => this.receiveRenewal(agent, gateway, sequence, event));
            return;
        }
        agent.received.set(gateway.name, sequence);
        this.decide(agent, event);
        this.sendGrant(agent, gateway, sequence);
    }

    private sendGrant(agent: SimulatedAgent, gateway: SimulatedGateway, sequence: number): void {
        if (this.now < agent.pausedUntil) {
            return;
        }
        const engines = agent.owner.listGranted();
        const version = agent.owner.grantVersion;
        this.sendBetween(agent, gateway, () => {
            const deliver = (): void => {
                if (this.now < gateway.pausedUntil) {
                    this.schedule(gateway.pausedUntil, deliver);
                    return;
                }
                const sentAt = gateway.sentAt.get(sequence);
                const renewedAt = sentAt === undefined ? undefined : { monotonic: sentAt, wall: sentAt };
                const acknowledged = gateway.acknowledged.set(agent.name, sequence);
                gateway.uses.removeUnconfirmed(
                    Math.min(...this.agents.map(other => acknowledged.get(other.name) ?? 0)),
                );
                const known = gateway.leases.readVersion(agent.name);
                if (version >= known) {
                    gateway.leases.receiveGrant(
                        agent.name,
                        { type: "grant", sequence, version, leaseMs, engines },
                        renewedAt,
                    );
                }
            };
            deliver();
        });
    }

    private readonly arrivals = new Map<string, number>();

    /** Messages of one link arrive in order; while the link is cut they are lost. */
    private sendBetween(agent: SimulatedAgent, gateway: SimulatedGateway, run: () => void): void {
        const link = `${agent.name} ${gateway.name}`;
        if (this.now < (this.linkCutUntil.get(link) ?? 0)) {
            return;
        }
        const at = Math.max(this.now + this.readDelay(), this.arrivals.get(link) ?? 0);
        this.arrivals.set(link, at);
        this.schedule(at, run);
    }

    // Requests.

    private dispatch(gateway: SimulatedGateway): void {
        if (this.now < gateway.pausedUntil) {
            return;
        }
        const model = this.chooseModel();
        const instant = { monotonic: this.now, wall: this.now };
        if (!gateway.leases.isLeased(engineId, model, instant)) {
            return;
        }
        gateway.uses.add(engineId, model, "paying");
        this.schedule(this.now + this.readDelay(), () => {
            // The engine refuses a request for a model that it has not loaded; the request does not run.
            const isRun = this.engine.loaded.has(model);
            if (isRun) {
                this.dispatched++;
                this.engine.running.set(model, (this.engine.running.get(model) ?? 0) + 1);
            }
            const durationMs = isRun ? this.random() ** 2 * leaseMs : 0;
            const isConfirmed = this.random() > 0.1;
            // After a caller disconnects, the gateway ends the use before the engine has stopped the request.
            const stopLagMs = isConfirmed ? 0 : this.random() * reportLagMs;
            this.schedule(this.now + durationMs + stopLagMs, () => {
                if (isRun) {
                    this.engine.running.set(model, this.engine.running.get(model)! - 1);
                }
            });
            this.schedule(
                this.now + durationMs + (isConfirmed ? this.readDelay() : 0),
                () => this.finish(gateway, model, isConfirmed),
            );
        });
    }

    private finish(gateway: SimulatedGateway, model: string, isConfirmed: boolean): void {
        if (this.now < gateway.pausedUntil) {
            this.schedule(gateway.pausedUntil, () => this.finish(gateway, model, isConfirmed));
            return;
        }
        gateway.uses.remove(engineId, model, "paying", isConfirmed, gateway.sequence + 1);
    }

    private readDelay(): number {
        return this.random() * this.faults.maxDelayMs;
    }

    private schedule(at: number, run: () => void): void {
        this.events.push({ at, order: this.order++, run });
    }
}
