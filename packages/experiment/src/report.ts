import type { AccountClass } from "@radishreel/dispatch";
import type { RequestResult, RunResult } from "./world.js";

/** Measurements of one account class in one run. Times are in milliseconds. */
export interface ClassReport {
    readonly requests: number;
    readonly refused: number;
    readonly meanStall: number;
    readonly p50Stall: number;
    readonly p95Stall: number;
    readonly p99Stall: number;
    readonly p95FirstToken: number;
    readonly p99FirstToken: number;
}

/** Measurements of one run. */
export interface Report {
    readonly policy: string;
    readonly paying: ClassReport;
    readonly trial: ClassReport;
    readonly fullness: number;
    readonly loadsPerThousand: number;
    readonly decisionMicros: number;
}

function readPercentile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function createClassReport(results: readonly RequestResult[], accountClass: AccountClass): ClassReport {
    const classResults = results.filter(result => result.request.accountClass === accountClass);
    const served = classResults.filter(result => result.refusedFor === undefined);
    const stalls = served.map(result => result.stallMs).sort((left, right) => left - right);
    const firstTokens = served.map(result => result.firstTokenMs).sort((left, right) => left - right);
    return {
        requests: classResults.length,
        refused: classResults.length - served.length,
        meanStall: stalls.reduce((total, stall) => total + stall, 0) / Math.max(1, stalls.length),
        p50Stall: readPercentile(stalls, 0.5),
        p95Stall: readPercentile(stalls, 0.95),
        p99Stall: readPercentile(stalls, 0.99),
        p95FirstToken: readPercentile(firstTokens, 0.95),
        p99FirstToken: readPercentile(firstTokens, 0.99),
    };
}

/** Summarises a run. */
export function createReport(policy: string, run: RunResult): Report {
    return {
        policy,
        paying: createClassReport(run.results, "paying"),
        trial: createClassReport(run.results, "trial"),
        fullness: run.fullness,
        loadsPerThousand: 1000 * run.loads / Math.max(1, run.results.length),
        decisionMicros: run.decisionMicros,
    };
}

/** Formats a report as one line of a human-readable table. */
export function formatReport(scenario: string, report: Report): string {
    const { paying, trial } = report;
    const columns = [
        scenario.padEnd(22),
        report.policy.padEnd(12),
        `paying ${String(paying.refused).padStart(5)}/${String(paying.requests).padEnd(5)} refused`,
        `stall mean ${formatMs(paying.meanStall)} p50 ${formatMs(paying.p50Stall)} p95 ${
            formatMs(paying.p95Stall)
        } p99 ${formatMs(paying.p99Stall)}`,
        `first token p95 ${formatMs(paying.p95FirstToken)}`,
        `trial ${String(trial.refused).padStart(5)}/${String(trial.requests).padEnd(5)} refused p95 ${
            formatMs(trial.p95Stall)
        }`,
        `fullness ${report.fullness.toFixed(3)}`,
        `loads/1000 ${report.loadsPerThousand.toFixed(0).padStart(4)}`,
        `${report.decisionMicros.toFixed(1)} us/event`,
    ];
    return columns.join("  ");
}

function formatMs(value: number): string {
    return value.toFixed(0).padStart(6);
}
