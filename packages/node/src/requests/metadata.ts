import type { LimitStatement, ResponseHead } from "../ports.js";

/** What the headers of a response say about the upstream that sent it. */
export interface ResponseMetadata extends Pick<ResponseHead, "isLeaving" | "askedRestMs"> {
    /** Undefined if the response says nothing reliable about the upstream's limit. */
    readonly limit: LimitStatement | undefined;
}

/** Metadata of a response whose headers say nothing about its upstream. */
export const emptyMetadata: ResponseMetadata = { isLeaving: false, askedRestMs: undefined, limit: undefined };

/** The request and the upstream that a response is expected to name. */
export interface ExpectedResponse {
    readonly requestId: string | undefined;
    readonly upstreamName: string;
}

/**
 * Reads what a response says about the upstream that the request was sent to. A response to another request or from
 * another upstream yields no metadata. A response that is marked as misdirected may come from another incarnation at
 * the same address, so it counts only if it names the upstream.
 */
export function readResponseMetadata(
    head: ResponseHead,
    { requestId, upstreamName }: ExpectedResponse,
): ResponseMetadata {
    const isForRequest = head.requestId === undefined || head.requestId === requestId;
    const isFromUpstream = head.sentBy === undefined ? !head.isMisdirected : head.sentBy === upstreamName;
    if (!isForRequest || !isFromUpstream) {
        return emptyMetadata;
    }
    // A response that is neither signed nor a rejection may be corrupt, and a missing header would end a limit.
    const isReliable = head.isSigned || head.isNotRun;
    return {
        isLeaving: head.isLeaving,
        askedRestMs: head.askedRestMs,
        limit: isReliable ? head.limit : undefined,
    };
}
