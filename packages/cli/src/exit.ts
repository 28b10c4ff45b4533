/** Exit codes of `radishreel`; they are listed in docs/reference/command-line.md. */
export const exitCodes = {
    done: 0,
    /** The files have mistakes, or `diff` found differences. */
    mistakes: 1,
    usage: 2,
    /** Another apply was in force first. */
    lostRace: 3,
    /** The change is not in force. */
    notInForce: 4,
    /** It cannot be told whether the change is in force. */
    unknown: 5,
    /** The change is in force, but not every node is known to have it. */
    behind: 6,
    /** No agent answered. */
    unreachable: 7,
    /** No line of the logs names the request. */
    notFound: 8,
} as const;

/** One of {@link exitCodes}. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
