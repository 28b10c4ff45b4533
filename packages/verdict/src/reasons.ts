/**
 * Every reason for which a request is refused, retried or given up.
 * Metrics are labelled with these words and with no others.
 */
export const reasons = [
    // The request itself.
    "unknownKey",
    "unknownAdapter",
    "unknownService",
    "unknownRoute",
    "notAllowed",
    "malformedBody",
    "oversizedBody",
    "malformedDeadline",
    // Request tokens.
    "requestTokenRequired",
    "malformedRequestToken",
    "requestTokenExpired",
    "requestTokenOfAnother",
    "requestTokenInUse",
    "requestTokenSpent",
    "requestTokenMismatch",
    "issuerGone",
    "issuerUnreachable",
    // Admission and queues.
    "noOfferings",
    "deadlineUnreachable",
    "deadlinePassed",
    "queueFull",
    "retryBudgetSpent",
    "callerGone",
    // Exchanges with upstreams.
    "connectFailed",
    "leaseLapsed",
    "connectionLost",
    "upstreamRefused",
    "upstreamFailed",
    "upstreamSilent",
    "wrongModel",
    "truncatedAnswer",
    "malformedAnswer",
] as const;

/** One of {@link reasons}. */
export type Reason = (typeof reasons)[number];
