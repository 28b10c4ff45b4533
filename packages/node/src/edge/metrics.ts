import { Counter, Gauge, type Registry } from "prom-client";

/** Metrics of the memory that a VM holds for callers. */
export class EdgeMetrics {
    private readonly heldBytes: Gauge;
    private readonly stalledCallers: Counter;

    constructor(registry: Registry) {
        this.heldBytes = new Gauge({
            name: "radishreel_node_caller_bytes",
            help: "Bytes that this VM holds for callers: unread responses, request bodies and open requests",
            registers: [registry],
        });
        this.stalledCallers = new Counter({
            name: "radishreel_node_stalled_callers_total",
            help: "Callers that were disconnected because they read or sent nothing",
            registers: [registry],
        });
    }

    setHeldBytes(bytes: number): void {
        this.heldBytes.set(bytes);
    }

    recordStalled(): void {
        this.stalledCallers.inc();
    }
}
