import { Counter, Gauge, Registry } from "prom-client";
import type { RefusalReason } from "./caller.js";
import type { ClaimEvent } from "./owning.js";

/** Metrics of `radishreel-node`. */
export class NodeMetrics {
    readonly registry = new Registry();
    private readonly refusals = new Counter({
        name: "radishreel_node_refusals_total",
        help: "Requests that this program ended itself, by reason",
        labelNames: ["reason"] as const,
        registers: [this.registry],
    });
    private readonly retries = new Counter({
        name: "radishreel_node_retries_total",
        help: "Attempts repeated inside the program, by what ended the one before",
        labelNames: ["after"] as const,
        registers: [this.registry],
    });
    private readonly unreadable = new Counter({
        name: "radishreel_node_unreadable_records_total",
        help: "Records of the store that cannot be read, by topic",
        labelNames: ["topic"] as const,
        registers: [this.registry],
    });
    private readonly claims = new Counter({
        name: "radishreel_node_claims_total",
        help: "What happened to claims of engines, by event",
        labelNames: ["event"] as const,
        registers: [this.registry],
    });
    private readonly version = new Gauge({
        name: "radishreel_node_routing_version",
        help: "Version of the configuration in force",
        registers: [this.registry],
    });

    recordRefusal(reason: RefusalReason): void {
        this.refusals.inc({ reason });
    }

    recordRetry(after: string): void {
        this.retries.inc({ after });
    }

    recordUnreadable(topic: string): void {
        this.unreadable.inc({ topic });
    }

    recordClaimEvent(event: ClaimEvent): void {
        this.claims.inc({ event });
    }

    setRoutingVersion(version: number): void {
        this.version.set(version);
    }
}
