import type { AdmissionRequest } from "../types.js";

/**
 * Cost of one output token, in prompt tokens; quotas count the same. A step of 5.5 ms takes as long as 200 prompt
 * tokens, and is shared by a batch of some 20 requests.
 */
const outputTokenCost = 10;

/** Size of a request that determines its cost. */
export type RequestSize = Pick<AdmissionRequest, "prefillTokens" | "kvTokens" | "outputTokens">;

/** Cost of a request in tokens: the prompt tokens that the engine must read, and its weighted output tokens. */
export function readRequestCost({ prefillTokens, kvTokens, outputTokens }: RequestSize): number {
    // Without the number of output tokens, cached prompt tokens cannot be told from them.
    const output = outputTokens ?? kvTokens - prefillTokens;
    return Math.max(0, prefillTokens) + outputTokenCost * Math.max(0, output);
}
