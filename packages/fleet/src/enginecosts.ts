import type { UpstreamLoad } from "./types.js";

/** Prompt tokens that an engine reads in a millisecond; both kinds of engine are specified with this rate. */
export const prefillTokensPerMs = 38.4;

/**
 * Delay that each running request adds to the first token of another, in milliseconds: its share of the batch's steps.
 */
const activeCostMs = 1.5;

/** Delay of a new request by the requests on an engine of nominal speed, in milliseconds. */
export function readQueueMs(load: Readonly<UpstreamLoad>): number {
    return load.backlogTokens / prefillTokensPerMs + load.active * activeCostMs;
}
