import type { ResponseHead } from "../ports.js";

/** What the headers of a response say about the upstream that sent it. */
export type ResponseMetadata = Pick<ResponseHead, "isLeaving" | "askedRestMs">;

/** Metadata of a response whose headers say nothing about its upstream. */
export const emptyMetadata: ResponseMetadata = { isLeaving: false, askedRestMs: undefined };

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
    return isForRequest && isFromUpstream
        ? { isLeaving: head.isLeaving, askedRestMs: head.askedRestMs }
        : emptyMetadata;
}
