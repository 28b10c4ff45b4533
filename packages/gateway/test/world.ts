import { Owner, type OwnerCommand, type OwnerEvent } from "@radishreel/placement";
import TinyQueue from "tinyqueue";
import { LeaseHolder } from "../src/leases.js";
import { UseCounter } from "../src/uses.js";

/** Faults of one run of {@link LeaseWorld}, each drawn anew by the test. */
export interface LeaseFaults {
    /** The engine takes orders whatever their token. */
    readonly ignoresFence: boolean;
    /** Greatest delay of a message, in milliseconds. */
    readonly maxDelayMs: number;
    /** Share of orders whose answer is lost. */
    readonly lostAnswers: number;
}

/** Rules that a test breaks on purpose, to see that the invariant is really checked. */
export interface BrokenRules {
    readonly evictsAtOnce?: boolean;
}

const leaseMs = 300;
const reportLagMs = 50;
const maxHoldMs = 50;
const models = ["a@1", "b@1", "c@1", "d@1"];
const engineId = "engine";

interface WorldEvent {
    readonly at: number;
    readonly order: number;
    readonly run: () => void;
}

interface Order {
    readonly type: "claim" | "load" | "evict";
    readonly model: string;
    readonly fence: number;
}

/** An engine that keeps to its protocol, and records what must never happen. */
class ModelEngine {
    fence = 0;
    readonly loaded = new Set<string>();
    readonly running = new Map<string, number>();
    readonly unsafe: string[] = [];

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
                this.unsafe.push(order.model);
            }
            this.loaded.delete(order.model);
        }
        return "done";
    }
}

interface Gateway {
    readonly name: string;
    readonly leases: LeaseHolder;
    readonly uses: UseCounter;
    sequence: number;
    readonly sentAt: Map<number, number>;
    /** Last renewal that each agent has answered. */
    readonly answered: Map<string, number>;
    pausedUntil: number;
}

interface Agent {
    readonly name: string;
    readonly owner: Owner;
    owns: boolean;
    pausedUntil: number;
    /** Last renewal of each gateway that it has received. */
    readonly received: Map<string, number>;
}

/** Two agents that may both believe to own one engine, and gateways that use it, in virtual time. */
export class LeaseWorld {
    now = 0;
    dispatched = 0;
    evicted = 0;
    private readonly engine: ModelEngine;
    private readonly agents: Agent[];
    private readonly gateways: Gateway[];
    private readonly events = new TinyQueue<WorldEvent>(
        [],
        (left, right) => left.at - right.at || left.order - right.order,
    );
    private readonly cuts = new Map<string, number>();
    private order = 0;

    constructor(
        private readonly random: () => number,
        private readonly faults: LeaseFaults,
        private readonly broken: BrokenRules = {},
    ) {
        this.engine = new ModelEngine(faults.ignoresFence);
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
            answered: new Map(),
            pausedUntil: 0,
        }));
    }

    get unsafeEvictions(): readonly string[] {
        return this.engine.unsafe;
    }

    /** Runs for a while with everything that can go wrong going wrong at random. */
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
                this.askEngine(agent);
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
        const dice = this.random();
        if (dice < 0.003) {
            this.agents[Math.floor(this.random() * 2)]!.pausedUntil = this.now + this.random() * 3 * leaseMs;
        }
        else if (dice < 0.006) {
            this.gateways[Math.floor(this.random() * 2)]!.pausedUntil = this.now + this.random() * 3 * leaseMs;
        }
        else if (dice < 0.009) {
            const index = Math.floor(this.random() * 2);
            this.setOwner(index, !this.agents[index]!.owns);
        }
        else if (dice < 0.015) {
            const agent = this.agents[Math.floor(this.random() * 2)]!;
            const gateway = this.gateways[Math.floor(this.random() * 2)]!;
            this.cuts.set(`${agent.name} ${gateway.name}`, this.now + this.random() * 3 * leaseMs);
        }
    }

    private setOwner(index: number, owns: boolean): void {
        const agent = this.agents[index]!;
        agent.owns = owns;
        this.decide(agent, owns ? { type: "own", engineId, address: engineId } : { type: "disown", engineId });
    }

    // Processes. What reaches a paused one is taken when it goes on.

    private decide(agent: Agent, event: OwnerEvent): void {
        if (this.now < agent.pausedUntil) {
            if (event.type !== "tick") {
                this.schedule(agent.pausedUntil, () => this.decide(agent, event));
            }
            return;
        }
        for (const command of agent.owner.decide(event, this.now)) {
            this.carryOut(agent, command);
        }
        if (this.broken.evictsAtOnce && event.type === "order" && event.action === "evict") {
            this.sendOrder(agent, { type: "evict", model: event.model, fence: this.engine.fence }, () => {});
        }
    }

    private carryOut(agent: Agent, command: OwnerCommand): void {
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
                // As the agent does: with the last renewal that it has received, which may be long ago.
                this.gateways.forEach(gateway => this.sendGrant(agent, gateway, agent.received.get(gateway.name) ?? 0));
                return;
            case "refuse":
        }
    }

    /** An order may be written late, arrive late, and lose its answer. */
    private sendOrder(agent: Agent, order: Order, done: (result: "done" | "stale" | "failed" | "lost") => void): void {
        const decidedAt = this.now;
        const write = (): void => {
            if (this.now < agent.pausedUntil) {
                this.schedule(agent.pausedUntil, write);
                return;
            }
            if (this.now - decidedAt >= maxHoldMs) {
                done("failed");
                return;
            }
            const isLost = this.random() < this.faults.lostAnswers;
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

    private askEngine(agent: Agent): void {
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

    private renew(gateway: Gateway): void {
        if (this.now < gateway.pausedUntil) {
            return;
        }
        const sequence = ++gateway.sequence;
        gateway.sentAt.set(sequence, this.now);
        for (const agent of this.agents) {
            const uses = gateway.uses.list().filter(use => gateway.leases.isConcerned(agent.name, use.engineId));
            const unsure = gateway.uses.listUnsure();
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

    private receiveRenewal(agent: Agent, gateway: Gateway, sequence: number, event: OwnerEvent): void {
        if (this.now < agent.pausedUntil) {
            this.schedule(agent.pausedUntil, () => this.receiveRenewal(agent, gateway, sequence, event));
            return;
        }
        agent.received.set(gateway.name, sequence);
        this.decide(agent, event);
        this.sendGrant(agent, gateway, sequence);
    }

    private sendGrant(agent: Agent, gateway: Gateway, sequence: number): void {
        if (this.now < agent.pausedUntil) {
            return;
        }
        const engines = agent.owner.listGranted();
        const version = agent.owner.grantVersion;
        this.sendBetween(agent, gateway, () => {
            const take = (): void => {
                if (this.now < gateway.pausedUntil) {
                    this.schedule(gateway.pausedUntil, take);
                    return;
                }
                const sentAt = gateway.sentAt.get(sequence);
                const renewedAt = sentAt === undefined ? undefined : { monotonic: sentAt, wall: sentAt };
                const answered = gateway.answered.set(agent.name, sequence);
                gateway.uses.removeUnsure(Math.min(...this.agents.map(other => answered.get(other.name) ?? 0)));
                const known = gateway.leases.readVersion(agent.name);
                if (version >= known) {
                    gateway.leases.receiveGrant(
                        agent.name,
                        { type: "grant", sequence, version, leaseMs, engines },
                        renewedAt,
                    );
                }
            };
            take();
        });
    }

    private readonly arrivals = new Map<string, number>();

    /** Messages of one link arrive in order, or not at all while it is cut. */
    private sendBetween(agent: Agent, gateway: Gateway, run: () => void): void {
        const link = `${agent.name} ${gateway.name}`;
        if (this.now < (this.cuts.get(link) ?? 0)) {
            return;
        }
        const at = Math.max(this.now + this.readDelay(), this.arrivals.get(link) ?? 0);
        this.arrivals.set(link, at);
        this.schedule(at, run);
    }

    // Requests.

    private dispatch(gateway: Gateway): void {
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
            // The engine refuses what it does not hold; nothing runs.
            const isRun = this.engine.loaded.has(model);
            if (isRun) {
                this.dispatched++;
                this.engine.running.set(model, (this.engine.running.get(model) ?? 0) + 1);
            }
            const durationMs = isRun ? this.random() ** 2 * leaseMs : 0;
            const isSure = this.random() > 0.1;
            // A caller that goes away ends the use at the gateway before the engine has stopped.
            const stopLagMs = isSure ? 0 : this.random() * reportLagMs;
            this.schedule(this.now + durationMs + stopLagMs, () => {
                if (isRun) {
                    this.engine.running.set(model, this.engine.running.get(model)! - 1);
                }
            });
            this.schedule(
                this.now + durationMs + (isSure ? this.readDelay() : 0),
                () => this.finish(gateway, model, isSure),
            );
        });
    }

    private finish(gateway: Gateway, model: string, isSure: boolean): void {
        if (this.now < gateway.pausedUntil) {
            this.schedule(gateway.pausedUntil, () => this.finish(gateway, model, isSure));
            return;
        }
        gateway.uses.remove(engineId, model, "paying", isSure, gateway.sequence + 1);
    }

    private readDelay(): number {
        return this.random() * this.faults.maxDelayMs;
    }

    private schedule(at: number, run: () => void): void {
        this.events.push({ at, order: this.order++, run });
    }
}
