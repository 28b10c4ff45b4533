import type { AnswerHead } from "../ports.js";

/** What an upstream says of itself in the head of an answer. */
export type UpstreamWords = Pick<AnswerHead, "isLeaving" | "askedRestMs">;

/** What an upstream says that says nothing of itself. */
export const noWords: UpstreamWords = { isLeaving: false, askedRestMs: undefined };

/** Whom an answer was expected from, and to what. */
export interface ExpectedAnswer {
    readonly requestId: string | undefined;
    readonly upstreamName: string;
}

/**
 * What an answer says of the upstream that was asked. An answer to another request says nothing, and neither does one that
 * names another upstream. One that is not what the request names may be another incarnation at the same address, so that it
 * must give the name.
 */
export function readWords(head: AnswerHead, { requestId, upstreamName }: ExpectedAnswer): UpstreamWords {
    const isAnswer = head.requestId === undefined || head.requestId === requestId;
    const isOwn = head.answeredBy === undefined ? !head.isMisdirected : head.answeredBy === upstreamName;
    return isAnswer && isOwn ? { isLeaving: head.isLeaving, askedRestMs: head.askedRestMs } : noWords;
}
