import type { AccountLedger } from "@radishreel/fleet";
import { Counter, Gauge, type Registry } from "prom-client";

/** Number of accounts with a label of their own: those with the most usage at the moment. */
const maxAccountLabels = 20;

/** Metrics of the shares of client accounts in the engines of this VM. */
export class ShareMetrics {
    private readonly active: Gauge;
    private readonly usage: Gauge<"account">;
    private readonly implausible: Counter;

    constructor(registry: Registry) {
        const registers = [registry];
        this.active = new Gauge({
            name: "radishreel_node_shares_active",
            help: "Whether requests wait for engines of this VM, or did within the last second",
            registers,
        });
        this.usage = new Gauge({
            name: "radishreel_node_account_usage_tokens",
            help:
                "Decayed usage of all engines, of the accounts with the most of it; empty name: requests without account",
            labelNames: ["account"],
            registers,
        });
        this.implausible = new Counter({
            name: "radishreel_node_account_use_implausible_total",
            help: "Reports on the usage of accounts by other owners of engines that were not taken as they came",
            registers,
        });
    }

    update(isActive: boolean, ledger: AccountLedger, now: number): void {
        this.active.set(Number(isActive));
        this.usage.reset();
        if (isActive) {
            for (const { account, tokens } of ledger.listLargest(maxAccountLabels, now)) {
                this.usage.set({ account }, tokens);
            }
        }
    }

    recordImplausible(): void {
        this.implausible.inc();
    }
}
