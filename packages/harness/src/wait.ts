import { setTimeout as sleep } from "node:timers/promises";

/** Interval between two checks, in milliseconds. */
const pollMs = 20;

/** Default time after which a wait fails, in milliseconds. */
const defaultTimeoutMs = 20_000;

/**
 * Calls `check` until it returns a value other than undefined and false, and returns this value.
 *
 * @throws Error if `timeoutMs` passes first; its message names `what`.
 */
export async function waitFor<Value>(
    what: string,
    check: () => Promise<Value | undefined | false> | Value | undefined | false,
    timeoutMs = defaultTimeoutMs,
): Promise<Value> {
    const deadline = performance.now() + timeoutMs;
    while (performance.now() < deadline) {
        const value = await check();
        if (value !== undefined && value !== false) {
            return value;
        }
        await sleep(pollMs);
    }
    throw new Error(`timed out after ${timeoutMs} ms while waiting for ${what}`);
}
