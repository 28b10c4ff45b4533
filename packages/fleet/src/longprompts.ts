import type { ModelDemand } from "./types.js";
import type { UpstreamState } from "./view.js";

/** What the cost of delays between requests depends on, besides the engine. */
export interface LongPromptOptions {
    readonly demand: ModelDemand;
    readonly now: number;
    /** Prompt tokens from which on a prompt delays other streams of its engine. */
    readonly longPromptTokens: number;
}

/** Whether the response is long enough for other requests' prompts to delay it. */
export function hasLongAnswer(model: ModelDemand | undefined): boolean {
    return model !== undefined && model.outputTokens > longAnswerTokens;
}

/** A response of more tokens than this takes half a second or more, so that other requests' prompts can delay it. */
const longAnswerTokens = 100;

/**
 * Cost of a long prompt for each long response that it would delay, in milliseconds. A late response costs its caller
 * as much as a delay of about 700 ms costs a short request with a tight latency target, but most long responses have
 * been delayed before, or end before the prompt is read.
 */
const longAnswerDelayCostMs = 150;

/**
 * Cost of an engine that has just read a long prompt to a request with a long response, in milliseconds: more than an
 * adapter load on another engine. Long responses thus leave an engine that reads long prompts, and the next long prompt
 * goes to the same engine.
 */
const recentLongPromptCostMs = 500;

/** Time for which a long prompt counts as recent, in milliseconds: under load the next one has arrived by then. */
const longPromptWindowMs = 1500;

/**
 * Cost of delays between requests on an engine, in milliseconds: for a long prompt, the long responses that it would
 * delay; for a long response, a recent long prompt that would delay it.
 */
export function readLongPromptCost(
    options: LongPromptOptions,
    state: UpstreamState,
    prefillTokens: number,
    longAnswers: number,
): number {
    const { demand, now, longPromptTokens } = options;
    if (prefillTokens >= longPromptTokens) {
        return longAnswers * longAnswerDelayCostMs;
    }
    const hasRecentLongPrompt = demand.outputTokens > longAnswerTokens
        && state.prompts.findLargest(now - longPromptWindowMs) >= longPromptTokens;
    return hasRecentLongPrompt ? recentLongPromptCostMs : 0;
}
