/**
 * Every reason for which a request is refused, is retried or fails.
 * These are the only values of the label `reason` of metrics.
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
    "bodyLate",
    "bodiesFull",
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
