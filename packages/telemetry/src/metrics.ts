import type { Reason } from "@radishreel/verdict";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the latency buckets, in seconds: from 1 ms to 60 s. */
const latencyBuckets = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 0.93, 3, 10, 30, 60];

/** Upper bounds of the batch fullness buckets, as shares of an engine's batch capacity. */
const shareBuckets = [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1];

/** Metrics of `radishreel-gateway`. docs/reference/metrics.md lists their names and labels. */
export class GatewayMetrics {
    readonly registry = new Registry();
    readonly requests = this.createCounter("requests_total", "Requests by customer class and verdict", [
        "class",
        "verdict",
    ]);
    readonly refusals = this.createCounter("refusals_total", "Refusals by reason", ["reason"]);
    readonly retries = this.createCounter("retries_total", "Attempts repeated inside the gateway, by reason", [
        "reason",
    ]);
    readonly loadStalls = this.createHistogram(
        "load_stall_seconds",
        "Time a request waited for its adapter to be loaded",
        latencyBuckets,
    );
    readonly queueTime = this.createHistogram(
        "queue_seconds",
        "Time a request waited before its dispatch",
        latencyBuckets,
    );
    readonly batchFullness = this.createHistogram(
        "batch_fullness",
        "Share of an engine's batch room in use at a dispatch",
        shareBuckets,
    );
    readonly offeringsVersion = this.createGauge("offerings_version", "Log offset of the offerings in force");
    readonly openRequests = this.createGauge("open_requests", "Requests that have no verdict yet");
    readonly frames = this.createCounter("frames_total", "Frames between processes, by event", ["event"]);

    private createCounter<Label extends string = string>(
        name: string,
        help: string,
        labelNames: Label[],
    ): Counter<Label> {
        return new Counter({ name: `radishreel_${name}`, help, labelNames, registers: [this.registry] });
    }

    private createGauge(name: string, help: string): Gauge {
        return new Gauge({ name: `radishreel_${name}`, help, registers: [this.registry] });
    }

    private createHistogram(name: string, help: string, buckets: number[]): Histogram<"class"> {
        return new Histogram({
            name: `radishreel_${name}`,
            help,
            labelNames: ["class"],
            buckets,
            registers: [this.registry],
        });
    }

    /** Counts a request that was refused or finally failed. */
    recordRefusal(reason: Reason): void {
        this.refusals.inc({ reason });
    }

    /** Counts a retry. */
    recordRetry(reason: Reason): void {
        this.retries.inc({ reason });
    }
}

/** Metrics of `radishreel-agent`. */
export class AgentMetrics {
    readonly registry = new Registry();
    readonly logFailures = new Counter({
        name: "radishreel_log_failures_total",
        help: "Failed calls to the log service, by operation",
        labelNames: ["operation"],
        registers: [this.registry],
    });
    readonly loads = new Counter({
        name: "radishreel_loads_total",
        help: "Adapter loads, by outcome",
        labelNames: ["outcome"],
        registers: [this.registry],
    });
    readonly evictions = new Counter({
        name: "radishreel_evictions_total",
        help: "Adapter evictions, by outcome",
        labelNames: ["outcome"],
        registers: [this.registry],
    });
    readonly frames = new Counter({
        name: "radishreel_frames_total",
        help: "Frames between processes, by event",
        labelNames: ["event"],
        registers: [this.registry],
    });
    readonly bytes = new Counter({
        name: "radishreel_peer_bytes_total",
        help: "Bytes between processes, by direction",
        labelNames: ["direction"],
        registers: [this.registry],
    });
    readonly offeringsVersion = new Gauge({
        name: "radishreel_offerings_version",
        help: "Log offset of the offerings in force",
        registers: [this.registry],
    });
    readonly ownedEngines = new Gauge({
        name: "radishreel_owned_engines",
        help: "Engines this agent owns",
        registers: [this.registry],
    });
}
