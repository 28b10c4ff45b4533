import type { LoadResult } from "./result.js";

/** One measure of two results. */
export interface Comparison {
    readonly measure: string;
    readonly left: number;
    readonly right: number;
    /** `left / right`; undefined where `right` is 0. */
    readonly ratio: number | undefined;
}

function listMeasures(result: LoadResult): Record<string, number> {
    const measures: Record<string, number> = {};
    for (const accountClass of ["paying", "trial"] as const) {
        const { sent, complete, firstByte, whole } = result[accountClass];
        measures[`${accountClass} sent`] = sent;
        measures[`${accountClass} complete`] = complete;
        for (const percentile of ["p50", "p95", "p99"] as const) {
            measures[`${accountClass} first byte ${percentile} ms`] = firstByte[percentile];
            measures[`${accountClass} whole ${percentile} ms`] = whole[percentile];
        }
    }
    return measures;
}

/** Lists every measure of two results and its ratio. */
export function compareResults(left: LoadResult, right: LoadResult): Comparison[] {
    const rightMeasures = listMeasures(right);
    return Object.entries(listMeasures(left)).map(([measure, value]) => {
        const other = rightMeasures[measure] ?? 0;
        return { measure, left: value, right: other, ratio: other === 0 ? undefined : value / other };
    });
}

/** Formats comparisons as a table of measure, left value, right value and ratio. */
export function formatComparison(comparisons: readonly Comparison[]): string {
    return comparisons
        .map(({ measure, left, right, ratio }) =>
            `${measure.padEnd(28)} ${left.toFixed(1).padStart(10)} ${right.toFixed(1).padStart(10)} ${
                (ratio?.toFixed(2) ?? "-").padStart(8)
            }`
        )
        .join("\n");
}
