import type { FleetView, SpeedSummary } from "@radishreel/fleet";
import { Gauge, type Registry } from "prom-client";
import type { DecisionLog } from "../decisions.js";

/** Maximum number of services with labels of their own; further services have no metrics of speeds. */
const maxServiceLabels = 50;

/** Options of {@link SpeedMonitor}. */
export interface SpeedMonitorOptions {
    readonly view: FleetView;
    readonly log: DecisionLog;
    readonly registry: Registry;
    readonly readTime: () => number;
}

/** Shows operators the learned speeds of upstreams: by metrics, and by a log line when their effect changes. */
export class SpeedMonitor {
    /** Last logged counts of upstreams that differ, by service. */
    private readonly logged = new Map<string, string>();
    private readonly labels = new Set<string>();
    private gauges: ReturnType<typeof createGauges> | undefined;

    constructor(private readonly options: SpeedMonitorOptions) {}

    /** Updates the metrics, and logs each service for which a different number of upstreams now counts as unequal. */
    update(): void {
        const { view, readTime } = this.options;
        const { speeds } = view;
        if (speeds === undefined) {
            return;
        }
        for (const service of new Set(view.listUpstreams().map(({ upstream }) => upstream.service))) {
            const summary = speeds.readSummary(service, () => view.listSpeeds(service), readTime());
            this.recordChange(service, summary);
            this.recordMetrics(service, summary);
        }
    }

    private recordChange(service: string, summary: SpeedSummary): void {
        const { slower, faster, known } = summary;
        const counts = `${slower} ${faster}`;
        if (counts === (this.logged.get(service) ?? "0 0")) {
            return;
        }
        this.logged.set(service, counts);
        this.options.log.recordImportant(slower + faster > 0 ? "speedsDiffer" : "speedsEqual", {
            service,
            known,
            slower,
            faster,
            slowest: formatSpeed(summary.slowest),
            median: formatSpeed(summary.median),
            fastest: formatSpeed(summary.fastest),
        });
    }

    private recordMetrics(service: string, { slowest, median, fastest, slower, faster }: SpeedSummary): void {
        if (!this.labels.has(service) && this.labels.size >= maxServiceLabels) {
            return;
        }
        this.labels.add(service);
        this.gauges ??= createGauges(this.options.registry);
        for (const [rank, speed] of Object.entries({ slowest, median, fastest })) {
            if (speed !== undefined) {
                this.gauges.speed.set({ service, rank }, speed);
            }
        }
        this.gauges.unequal.set({ service, side: "slower" }, slower);
        this.gauges.unequal.set({ service, side: "faster" }, faster);
    }
}

function createGauges(registry: Registry) {
    const registers = [registry];
    return {
        speed: new Gauge({
            name: "radishreel_node_upstream_speed",
            help: "Learned speeds of the upstreams of a service, as factors of the expected speed",
            labelNames: ["service", "rank"] as const,
            registers,
        }),
        unequal: new Gauge({
            name: "radishreel_node_upstreams_unequal",
            help: "Upstreams whose learned speed differs from the median of their service by more than a fifth",
            labelNames: ["service", "side"] as const,
            registers,
        }),
    };
}

function formatSpeed(speed: number | undefined): number | undefined {
    return speed === undefined ? undefined : Math.round(speed * 100) / 100;
}
