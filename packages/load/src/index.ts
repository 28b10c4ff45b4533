/** Open-loop load generator and its results. */
export { type Arrival, createArrivals } from "./arrivals.js";
export { compareResults, type Comparison, formatComparison } from "./compare.js";
export { isLoopback, type LoadOptions } from "./options.js";
export { formatPlot } from "./plot.js";
export type { ClassResult, LoadResult, Percentiles, SecondResult } from "./result.js";
export { LoadRun } from "./run.js";
