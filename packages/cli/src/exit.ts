/** Exit codes of `radishreel`, listed in docs/reference/command-line.md. */
export const exitCodes = {
    done: 0,
    /** The files have mistakes, or `diff` found differences. */
    mistakes: 1,
    usage: 2,
    /** A concurrent apply came into force first. */
    lostRace: 3,
    /** The change is not in force. */
    notInForce: 4,
    /** Whether the change is in force is unknown. */
    unknown: 5,
    /** The change is in force, but not all nodes have confirmed it. */
    behind: 6,
    /** No agent responded. */
    unreachable: 7,
    /** No log line mentions the request. */
    notFound: 8,
} as const;

/** One of {@link exitCodes}. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
