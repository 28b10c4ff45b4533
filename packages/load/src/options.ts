/** Bounds that no run exceeds, whatever it is asked for. */
export const maxRequests = 2_000_000;
export const maxDurationSeconds = 3600;

/** One open-loop run. */
export interface LoadOptions {
    /** `host:port` of gateways; requests go round them. */
    readonly targets: readonly string[];
    readonly seed: number;
    readonly durationSeconds: number;
    /** Paying and trial requests a second. */
    readonly payingRate: number;
    readonly trialRate: number;
    readonly payingKey: string;
    readonly trialKey: string;
    /** Models, the most popular first. */
    readonly models: readonly string[];
    readonly zipf: number;
    /** Seconds after which popularity is drawn anew; undefined for never. */
    readonly shiftSeconds?: number;
    /** Requests that arrive together. @default 1 */
    readonly burst: number;
    /** Share of completions that are streams. */
    readonly streamShare: number;
    readonly maxTokens: number;
    readonly deadlineMs: number;
    /** Path of a call that must not run twice; left out for none. */
    readonly onceCall?: string;
    /** Share of requests that make that call. */
    readonly onceShare: number;
}

/** Whether an address is on this machine. */
export function isLoopback(address: string): boolean {
    const host = address.slice(0, address.lastIndexOf(":")).replace(/^\[|\]$/g, "");
    return host === "localhost" || host === "::1" || /^127\.\d+\.\d+\.\d+$/.test(host);
}
