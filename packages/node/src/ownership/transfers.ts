import {
    type CopyRule,
    type EngineSlotPlanner,
    type EngineSlotPlannerOptions,
    type EngineStatus,
    type EngineTransfers,
    type FleetView,
    ReloadCostEviction,
    scarceCopies,
    TransferBudget,
    type TransferTotals,
} from "@radishreel/fleet";
import { Counter, Gauge, type Registry } from "prom-client";
import type { Timers } from "../clock.js";
import type { DecisionLog } from "../decisions.js";
import type { NodeFeatures } from "../features.js";

/** Shortest interval between two reports near the limit, in milliseconds. */
const minReportIntervalMs = 100;

/** Shortest interval between two log lines about the limit, in milliseconds. */
const minLogIntervalMs = 1000;

/** Settings of the transfer budget. */
export interface TransferSettings {
    /** Transfers from the weight store over all engines. @default defaultMaxTransfers */
    readonly maxTransfers?: number | undefined;
    /** Registry of the metrics. @default there are no metrics */
    readonly registry?: Registry | undefined;
}

/** Options of {@link OwnedTransfers}. */
export interface OwnedTransfersOptions {
    readonly view: FleetView;
    readonly log: DecisionLog;
    readonly timers: Timers;
    readonly readTime: () => number;
    /** @default the defaults of the settings */
    readonly transfers?: TransferSettings | undefined;
    /** Sends the statuses of engines whose transfers have changed to the other owners. */
    readonly sendReport: (engines: readonly string[]) => void;
}

/** Transfers of an owned engine, and as they were last reported. */
interface OwnTransfers {
    current: EngineTransfers;
    reported: EngineTransfers | undefined;
}

/** Identifies the newest applied status of an engine. */
type StatusVersion = Pick<EngineStatus, "fence" | "revision" | "isOwned">;

/** The rule for copies of adapters; undefined without the transfer budget. */
export function findCopyRule(features: NodeFeatures | undefined): CopyRule | undefined {
    return features?.hasTransferBudget === true ? scarceCopies : undefined;
}

/** Keeps the owned engines within the transfer budget, by the statuses of all owners. */
export class OwnedTransfers {
    private readonly budget: TransferBudget;
    private readonly own = new Map<string, OwnTransfers>();
    private readonly applied = new Map<string, StatusVersion>();
    private reportedAt = -Infinity;
    private isReportScheduled = false;
    private wasBinding = false;
    private loggedAt = -Infinity;
    private heldBack: Counter | undefined;

    constructor(private readonly options: OwnedTransfersOptions) {
        const { maxTransfers, registry } = options.transfers ?? {};
        this.budget = new TransferBudget({ maxTransfers });
        if (registry !== undefined) {
            this.addMetrics(registry);
        }
    }

    private addMetrics(registry: Registry): void {
        const readTotals = (): TransferTotals => this.readTotals(this.options.readTime());
        new Gauge({
            name: "radishreel_node_adapter_transfers",
            help: "Adapter transfers from the weight store over all engines that this VM knows of, by state",
            labelNames: ["state"] as const,
            registers: [registry],
            collect() {
                const { inFlight, waiting } = readTotals();
                this.set({ state: "inFlight" }, inFlight);
                this.set({ state: "waiting" }, waiting);
            },
        });
        this.heldBack = new Counter({
            name: "radishreel_node_adapter_transfers_held_back_total",
            help: "Times that the budget held back a load of an owned engine, each check counted",
            registers: [registry],
        });
    }

    /**
     * Creates the options of an owned engine's planner.
     * @param readTransfers Reads the transfers from that planner.
     */
    createPlannerOptions(
        engine: string,
        readTransfers: (now: number) => EngineTransfers,
    ): Pick<EngineSlotPlannerOptions, "evictionRule" | "mayTransfer" | "mayRefresh"> {
        return {
            evictionRule: new ReloadCostEviction(),
            mayTransfer: now => {
                this.setOwn(engine, readTransfers(now));
                this.applyStatuses(now);
                const mayStart = this.budget.mayStart(engine, now);
                if (!mayStart) {
                    this.heldBack?.inc();
                }
                return mayStart;
            },
            mayRefresh: now => !this.readTotals(now).isNearLimit,
        };
    }

    /** Creates the fields of an owned engine's status. */
    createStatusFields(planner: Pick<EngineSlotPlanner, "readTransfers">): Pick<EngineStatus, "transfers"> {
        return { transfers: planner.readTransfers(this.options.readTime()) };
    }

    /** Updates the transfers of an owned engine, and schedules a report if others need it soon. */
    update(engine: string, transfers: EngineTransfers): void {
        const now = this.options.readTime();
        this.setOwn(engine, transfers);
        this.recordState(this.readTotals(now), now);
        const isUrgent = this.listUnreported().some(id => this.budget.isReportUrgent(id, now));
        if (isUrgent && !this.isReportScheduled) {
            this.isReportScheduled = true;
            const waitMs = Math.max(0, this.reportedAt + minReportIntervalMs - now);
            this.options.timers.scheduleOnce(() => this.sendReport(), waitMs);
        }
    }

    /** Records that a status with the transfers of an owned engine is sent. */
    recordReport({ engine, transfers }: EngineStatus): void {
        const own = this.own.get(engine);
        if (own === undefined || transfers === undefined) {
            return;
        }
        const now = this.options.readTime();
        own.reported = transfers;
        this.reportedAt = now;
        this.budget.update(engine, transfers, true, now);
    }

    /** Removes an engine that is no longer owned. */
    remove(engine: string): void {
        this.own.delete(engine);
        this.budget.removeOwner(engine, this.options.readTime());
    }

    /** Transfers over all engines. */
    readTotals(now: number): TransferTotals {
        this.applyStatuses(now);
        return this.budget.readTotals(now);
    }

    private setOwn(engine: string, transfers: EngineTransfers): void {
        this.own.set(engine, { current: transfers, reported: this.own.get(engine)?.reported });
        this.budget.setOwn(engine, transfers);
    }

    private listUnreported(): string[] {
        return [...this.own].filter(([, { current, reported }]) =>
            current.inFlight !== (reported?.inFlight ?? 0) || current.waiting !== (reported?.waiting ?? 0)
        ).map(([engine]) => engine);
    }

    private sendReport(): void {
        this.isReportScheduled = false;
        this.options.sendReport(this.listUnreported());
    }

    /** Applies what the statuses of other owners have changed since the last call. */
    private applyStatuses(now: number): void {
        const { view } = this.options;
        for (const { upstream: { id }, status } of view.listUpstreams()) {
            const known = this.applied.get(id);
            const isKnown = status?.revision === known?.revision && status?.fence === known?.fence
                && status?.isOwned === known?.isOwned;
            if (status === undefined || isKnown || this.own.has(id)) {
                continue;
            }
            this.applied.set(id, status);
            if (status.isOwned && status.revision >= 0) {
                // A VM of an older version reports no transfers; its loads count as far as they are known.
                const transfers = status.transfers ?? { inFlight: status.coming.length, waiting: 0 };
                this.budget.update(id, transfers, false, now);
            }
            else {
                this.budget.removeOwner(id, now);
            }
        }
        for (const id of this.applied.keys()) {
            if (view.findUpstream(id) === undefined) {
                this.applied.delete(id);
                this.budget.removeOwner(id, now);
            }
        }
    }

    /** Logs when the limit starts or stops to hold back loads. */
    private recordState(totals: TransferTotals, now: number): void {
        if (totals.isBinding !== this.wasBinding && now - this.loggedAt >= minLogIntervalMs) {
            this.wasBinding = totals.isBinding;
            this.loggedAt = now;
            const { isBinding, inFlight, waiting } = totals;
            this.options.log.recordImportant("transferLimit", { isBinding, inFlight, waiting });
        }
    }
}
