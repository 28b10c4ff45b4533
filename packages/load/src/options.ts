/** Hard limits of a run, whatever its options. */
export const maxRequests = 2_000_000;
export const maxDurationSeconds = 3600;

/** Options of an open-loop run. */
export interface LoadOptions {
    /** `host:port` of gateways; requests are sent to them round-robin. */
    readonly targets: readonly string[];
    readonly seed: number;
    readonly durationSeconds: number;
    /** Paying requests per second. */
    readonly payingRate: number;
    /** Trial requests per second. */
    readonly trialRate: number;
    readonly payingKey: string;
    readonly trialKey: string;
    /** Models (`adapter@version`), the most popular first. */
    readonly models: readonly string[];
    /** Exponent of the Zipf distribution over models. */
    readonly zipf: number;
    /** Interval after which the popularity of the models changes, in seconds; undefined for never. */
    readonly shiftSeconds?: number;
    /** Requests that arrive together. @default 1 */
    readonly burst: number;
    /** Share of completions with a streamed response. */
    readonly streamShare: number;
    readonly maxTokens: number;
    readonly deadlineMs: number;
    /** Path of a non-idempotent call, which needs a request token; undefined for none. */
    readonly onceCall?: string;
    /** Share of requests that send `onceCall`. */
    readonly onceShare: number;
}

/** Whether a `host:port` address is a loopback address. */
export function isLoopback(address: string): boolean {
    const host = address.slice(0, address.lastIndexOf(":")).replace(/^\[|\]$/g, "");
    return host === "localhost" || host === "::1" || /^127\.\d+\.\d+\.\d+$/.test(host);
}
