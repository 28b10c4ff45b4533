import * as z from "zod";
import type { QuotaLimit } from "./quota.js";

/** Most upstreams whose limits are remembered. The one that changed longest ago is dropped first. */
const maxUpstreams = 10_000;

/**
 * Lowest rate at which requests are sent to an upstream, in requests per second over all VMs. Only a response can show
 * that a limit of 0 has ended.
 */
const minPerSecond = 0.1;

/** Time over which an unused part of a limit may be used later, in seconds: covers the pauses between requests. */
const burstSeconds = 0.25;

/** A change of an upstream's limit, as VMs announce it to each other. */
export const limitChangeSchema = z.object({
    upstream: z.string(),
    /** Requests per second over all VMs; undefined if the upstream no longer names a limit. */
    perSecond: z.number().nonnegative().optional(),
    /** Orders the changes that different VMs announce. */
    revision: z.number().int().positive(),
});

/** See {@link limitChangeSchema}. */
export type LimitChange = z.infer<typeof limitChangeSchema>;

/** A limit in force. */
export interface UpstreamLimit {
    /** Requests per second over all VMs. */
    readonly perSecond: number;
    /** When this VM learned the limit. */
    readonly since: number;
}

interface LimitState extends LimitChange {
    readonly since: number;
    /** Number of times that a response or another VM named the limit in force or a lower one to this VM. */
    statements: number;
    /** When the coordinator expects to grant a further request, by its last reply. */
    grantExpectedAt: number;
    /** Until when no coordinator is expected to decide claims. */
    undecidedUntil: number;
}

/**
 * The numbers of requests per second that upstreams accept over all VMs (`Server-Limit`), by incarnation. Responses and
 * announcements of other VMs overtake each other. A limit is raised or ended only by a response to a request that was
 * written after this VM was last told of the limit, since that response is certainly newer. A lower limit is accepted
 * from any response.
 */
export class UpstreamLimits {
    private readonly states = new Map<string, LimitState>();

    /** Number of limits in force. */
    get count(): number {
        return this.listStates().filter(({ perSecond }) => perSecond !== undefined).length;
    }

    /** Finds the limit in force; undefined if the upstream names none. */
    find(id: string): UpstreamLimit | undefined {
        const state = this.states.get(id);
        return state?.perSecond === undefined ? undefined : { perSecond: state.perSecond, since: state.since };
    }

    /** Counts the statements about an upstream's limit so far. To be called when a request is written. */
    countStatements(id: string): number {
        return this.states.get(id)?.statements ?? 0;
    }

    /**
     * Records the limit that a response names.
     * @param perSecond Undefined if the response names none.
     * @param statementsAtWrite Value of {@link countStatements} when the request was written.
     * @returns The change, to be announced to other VMs; undefined if nothing changed.
     */
    recordResponse(
        id: string,
        perSecond: number | undefined,
        statementsAtWrite: number,
        now: number,
    ): LimitChange | undefined {
        const state = this.states.get(id);
        const known = state?.perSecond ?? Infinity;
        const named = perSecond ?? Infinity;
        if (state !== undefined && named <= known && perSecond !== undefined) {
            state.statements += 1;
        }
        const isNewer = statementsAtWrite === (state?.statements ?? 0);
        if (named === known || (named > known && !isNewer)) {
            return undefined;
        }
        const change = { upstream: id, perSecond, revision: (state?.revision ?? 0) + 1 };
        this.set(change, now);
        return change;
    }

    /** Applies a change that another VM announced. @returns Whether it was newer than the known state. */
    apply(change: LimitChange, now: number): boolean {
        const state = this.states.get(change.upstream);
        if (state !== undefined) {
            const isStricter = (change.perSecond ?? Infinity) < (state.perSecond ?? Infinity);
            // Two VMs can make different changes at the same time; all VMs then keep the lower limit.
            if (change.revision < state.revision || (change.revision === state.revision && !isStricter)) {
                return false;
            }
        }
        this.set(change, now);
        return true;
    }

    /** Lists the last changes, including ends of limits: a VM may still hold a limit that has ended. */
    list(): LimitChange[] {
        return this.listStates().map(({ upstream, perSecond, revision }) => ({ upstream, perSecond, revision }));
    }

    /** Records when the coordinator expects to grant a further request to an upstream. */
    recordGrantExpected(id: string, at: number): void {
        const state = this.states.get(id);
        if (state !== undefined) {
            state.grantExpectedAt = at;
        }
    }

    /** Records that no coordinator can decide claims on the limit at present. */
    recordUndecided(id: string, until: number): void {
        const state = this.states.get(id);
        if (state !== undefined) {
            state.undecidedUntil = until;
        }
    }

    isUndecided(id: string, now: number): boolean {
        return (this.states.get(id)?.undecidedUntil ?? -Infinity) > now;
    }

    /** Expected wait for the coordinator's grant, in milliseconds; 0 without a limit. */
    readWaitMs(id: string, now: number): number {
        const state = this.states.get(id);
        return state?.perSecond === undefined
            ? 0
            : Math.max(0, state.grantExpectedAt - now, state.undecidedUntil - now);
    }

    private listStates(): LimitState[] {
        return [...this.states.values()];
    }

    private set(change: LimitChange, now: number): void {
        const known = this.states.get(change.upstream);
        this.states.delete(change.upstream);
        this.states.set(change.upstream, {
            ...change,
            since: now,
            statements: (known?.statements ?? 0) + 1,
            grantExpectedAt: now,
            undecidedUntil: now,
        });
        if (this.states.size > maxUpstreams) {
            this.states.delete(this.states.keys().next().value!);
        }
    }
}

/** The quota that a limit gives all VMs together, in requests. */
export function createLimitQuota(perSecond: number): QuotaLimit {
    const usable = Math.max(perSecond, minPerSecond);
    return { perSecond: usable, burst: usable * burstSeconds, claimCost: 1 };
}
