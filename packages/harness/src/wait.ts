import { setTimeout as sleep } from "node:timers/promises";

/** Interval between two looks, in milliseconds. */
const pollMs = 20;

/** Longest wait before something that should happen counts as never happening, in milliseconds. */
const defaultTimeoutMs = 20_000;

/** Waits until `check` gives something, and fails loudly if it never does. */
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
    throw new Error(`waited ${timeoutMs} ms for ${what}`);
}
