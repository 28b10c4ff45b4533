import type { RawHeaders } from "../ports.js";

/** How one attempt at an upstream ended. */
export type AttemptEnd =
    /** The caller has received the complete response. */
    | {
        readonly kind: "complete";
        readonly status: number;
        /** Whether only the close of its connection marked the end of the response. @default false */
        readonly isCloseDelimited?: boolean;
    }
    /** The upstream confirms that it did not run the request, or nothing was sent to it. */
    | {
        readonly kind: "notRun";
        readonly wasSent: boolean;
        readonly isMisdirected: boolean;
        readonly detail: string;
        /** Whether the response was cut off, since its body had no end. @default false */
        readonly wasCut?: boolean;
    }
    /** The request cannot be written to any upstream, since it is not valid HTTP. */
    | { readonly kind: "invalid"; readonly detail: string; }
    /** The upstream ran the request and failed with a response that has not been sent to the caller. */
    | {
        readonly kind: "failed";
        readonly status: number;
        readonly headers: RawHeaders;
        /** Undefined if the response was cut off, since its body had no end. */
        readonly body: Buffer | undefined;
    }
    /** Whether the request ran is unknown. */
    | { readonly kind: "broken"; readonly reason: BreakReason; readonly detail: string; }
    | { readonly kind: "callerLeft"; }
    /** Another attempt of the request went on, so that this one was cancelled before the caller received any of it. */
    | { readonly kind: "superseded"; readonly wasSent: boolean; };

/** Why an attempt ended with an unknown outcome. */
export type BreakReason =
    | "connectionLost"
    | "upstreamSilent"
    | "wrongAnswer"
    | "truncatedAnswer"
    | "timeout"
    | "versionReplaced"
    /** It is not certain which software version the upstream runs. */
    | "upstreamReplaced"
    /** The request was quarantined before its response started. */
    | "quarantined";
