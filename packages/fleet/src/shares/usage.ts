/** Counts the requests that start on engines. */
export interface AccountStarts {
    /** @param tokens Cost of the request, see `readRequestCost`. */
    recordStart(account: string | undefined, tokens: number, now: number): void;
}
