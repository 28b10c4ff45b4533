import { AccountLedger, type FleetView, type UsageReport } from "@radishreel/fleet";
import type { Registry } from "prom-client";
import type { DecisionLog } from "../decisions.js";
import type { PeerMessage } from "../links/messages.js";
import { ShareMetrics } from "./sharemetrics.js";

/** Minimum time between two log lines about implausible reports, in milliseconds. */
const implausibleLogIntervalMs = 5000;

/** Number of accounts in a log line. */
const maxLoggedAccounts = 5;

/** Options of {@link FairShares}. */
export interface FairSharesOptions {
    readonly vm: string;
    readonly view: Pick<FleetView, "listUpstreams">;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    /** Counts the requests that wait for an engine of this VM. */
    readonly countWaiting: () => number;
    /** Sends a message to the VMs among these to which a link is open. */
    readonly sendToAll: (vms: readonly string[], message: PeerMessage) => void;
    readonly registry: Registry;
}

/** Exchanges the usage of engines by client accounts with the other owners of engines. */
export class FairShares {
    /** Usage by account, which orders the requests that wait for engines of this VM. */
    readonly ledger = new AccountLedger();
    private readonly metrics: ShareMetrics;
    /** When requests began to wait; undefined while none has waited lately. */
    private activeSince: number | undefined;
    private implausibleLoggedAt = -Infinity;

    constructor(private readonly options: FairSharesOptions) {
        this.metrics = new ShareMetrics(options.registry);
    }

    /** Sends the usage since the last report to the other owners, if requests wait. Called every 250 ms. */
    update(): void {
        const { readTime, countWaiting, sendToAll } = this.options;
        const now = readTime();
        const waiting = countWaiting();
        const usage = this.ledger.createReport(waiting > 0, now);
        if (usage.length > 0) {
            const owners = [...this.countEngines().keys()].filter(owner => owner !== this.options.vm);
            if (owners.length > 0) {
                sendToAll(owners, { type: "accountUse", usage });
            }
        }
        this.updateActive(waiting, now);
    }

    /** Adds the usage that another owner reports. */
    receiveReport(vm: string, usage: UsageReport): void {
        const now = this.options.readTime();
        if (this.ledger.receiveReport(vm, usage, this.countEngines().get(vm) ?? 0, now)) {
            return;
        }
        this.metrics.recordImplausible();
        if (now - this.implausibleLoggedAt > implausibleLogIntervalMs) {
            this.implausibleLoggedAt = now;
            this.options.log.recordImportant("accountUseImplausible", {
                from: vm,
                usage: usage.slice(0, maxLoggedAccounts),
            });
        }
    }

    private updateActive(waiting: number, now: number): void {
        const { log } = this.options;
        const isActive = this.ledger.isReporting(now);
        this.metrics.update(isActive, this.ledger, now);
        if (isActive === (this.activeSince !== undefined)) {
            return;
        }
        const largest = this.ledger.listLargest(maxLoggedAccounts, now);
        const detail = { accounts: this.ledger.accountCount, largest };
        if (isActive) {
            this.activeSince = now;
            log.recordImportant("sharesBegun", { waiting, ...detail });
        }
        else {
            log.recordImportant("sharesEnded", { ms: Math.round(now - this.activeSince!), ...detail });
            this.activeSince = undefined;
        }
    }

    /** Counts the engines of each known owner. */
    private countEngines(): Map<string, number> {
        const counts = new Map<string, number>();
        for (const { owner } of this.options.view.listUpstreams()) {
            if (owner !== undefined) {
                counts.set(owner, (counts.get(owner) ?? 0) + 1);
            }
        }
        return counts;
    }
}
