import type { Upstream } from "@radishreel/fleet";
import type { Service } from "@radishreel/routing";
import type { ProbeResult } from "../paths/index.js";
import type { RequestDialect } from "../ports.js";
import type { ConnectionPool } from "../requests/connectionpool.js";
import { askIdentity, type IdentityAnswer } from "../requests/identity.js";
import { CallBatches } from "./batches.js";

/**
 * What a check has shown after it was asked: the incarnation runs; another one, or another upstream, has its address; a
 * response that shows neither, or none; the address refuses connections; no connection could be opened.
 */
export type IncarnationResult = "same" | "other" | "unproven" | "refused" | "silent";

/** What the incarnation of an upstream has done. */
export interface KnownRun {
    readonly service: Service;
    /** When a request was written to the incarnation, in milliseconds; infinitely long ago if unknown. */
    readonly writtenAt: number;
}

/** Checks whether the incarnation of an upstream that a request was sent to still runs. */
export interface IncarnationCheck {
    /** What is shown holds for a time after the call of this method. */
    checkRunning(upstream: Upstream, run: KnownRun): Promise<IncarnationResult>;
}

/** Options of {@link CalledIncarnationCheck}. */
export interface CalledIncarnationCheckOptions {
    readonly pool: Pick<ConnectionPool, "claim" | "release">;
    readonly dialect: Pick<RequestDialect, "createIdentityCall" | "parseIdentity" | "parseResponse">;
    readonly readTime: () => number;
    /** Opens a connection to an upstream and closes it. */
    readonly probe: (upstream: Upstream) => Promise<ProbeResult>;
}

/** Answer to a call, or why there is none. */
type CallOutcome = IdentityAnswer | Exclude<ProbeResult, "open">;

/**
 * Asks the process at the address of an upstream which incarnation it is. Where the answer names the upstream and not its
 * start, it counts for an upstream that may start again under its name only on a connection that is older than the
 * request: the end of a process ends all its connections.
 */
export class CalledIncarnationCheck implements IncarnationCheck {
    private readonly batches = new CallBatches<CallOutcome>();

    constructor(private readonly options: CalledIncarnationCheckOptions) {}

    async checkRunning(upstream: Upstream, { service, writtenAt }: KnownRun): Promise<IncarnationResult> {
        const outcome = await this.batches.ask(upstream.id, () => this.askTwice(upstream, service));
        if (typeof outcome === "string") {
            return outcome;
        }
        switch (outcome.shown) {
            case "incarnation":
                return "same";
            case "name":
                return upstream.bornAt === 0 || outcome.openedAt < writtenAt ? "same" : "unproven";
            case "other":
                return "other";
            case "nothing":
                return "unproven";
        }
    }

    /** Asks once, and once more on another connection if there was no answer and the address accepts connections. */
    private async askTwice(upstream: Upstream, service: Service): Promise<CallOutcome> {
        const call = this.options.dialect.createIdentityCall(upstream, service);
        if (call === undefined) {
            return { shown: "nothing", openedAt: Infinity };
        }
        const isOldUseful = service.engine === undefined && upstream.bornAt !== 0;
        const first = await askIdentity(upstream, { ...this.options, call, isFresh: !isOldUseful });
        if (first.shown !== "nothing") {
            return first;
        }
        const listening = await this.options.probe(upstream);
        if (listening !== "open") {
            return listening;
        }
        return askIdentity(upstream, { ...this.options, call, isFresh: true });
    }
}
