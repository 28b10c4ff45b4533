import { createLimitQuota, type UpstreamLimits } from "@radishreel/fleet";
import { type ClaimWait, formatUpstreamKey, type Quotas } from "../quotas/index.js";

/** Time after its grant within which a request must be written, in milliseconds: opening a connection takes 5 ms. */
const maxGrantAgeMs = 300;

/** Pause after a claim that no coordinator decided, in milliseconds: leases of shares and a new coordinator take 10 ms. */
const undecidedWaitMs = 100;

/** How a claim on an upstream's limit ended, as the metrics count it. */
export type LimitVerdict =
    | "granted"
    /** Granted after a wait at the coordinator. */
    | "deferred"
    | "refused"
    | "undecided";

/** A part of an upstream's limit that one request may use. */
export interface LimitGrant {
    /** Whether the request may still be written. An old grant would add to grants of a later time. */
    readonly isValid: boolean;
    /** Returns a grant whose request was not written. */
    release(): void;
}

/** A request that waits for a part of an upstream's limit. */
export interface LimitClaim {
    /** Resolves with undefined if the request is not granted a part of the limit. */
    readonly grant: Promise<LimitGrant | undefined>;
    cancel(): void;
}

/** Options of {@link UpstreamLimiter}. */
export interface UpstreamLimiterOptions {
    readonly limits: UpstreamLimits;
    readonly quotas: Pick<Quotas, "claimAndWait">;
    readonly readTime: () => number;
    /** Clock that also counts while the VM is suspended, in milliseconds. */
    readonly readBoot: () => number;
    readonly onVerdict: (verdict: LimitVerdict) => void;
}

/** Claims parts of upstreams' limits, which hold for all VMs together, for requests of this VM. */
export class UpstreamLimiter {
    constructor(private readonly options: UpstreamLimiterOptions) {}

    /** Claims a part of an upstream's limit for one request. */
    claim(upstream: string, perSecond: number, wait: ClaimWait): LimitClaim {
        const { limits, quotas, readTime, readBoot, onVerdict } = this.options;
        const limit = createLimitQuota(perSecond);
        const claim = quotas.claimAndWait({ key: formatUpstreamKey(upstream), limit, cost: 1 }, wait);
        const grant = claim.verdict.then((verdict): LimitGrant | undefined => {
            const now = readTime();
            switch (verdict.kind) {
                case "granted": {
                    limits.recordGrantExpected(upstream, now + (verdict.nextMs ?? 0));
                    onVerdict((verdict.heldMs ?? 0) > 0 ? "deferred" : "granted");
                    const grantedAt = readBoot();
                    return {
                        get isValid() {
                            return readBoot() - grantedAt <= maxGrantAgeMs;
                        },
                        release: () => claim.cancel(),
                    };
                }
                case "refused":
                    limits.recordGrantExpected(upstream, now + (verdict.waitMs ?? 0));
                    onVerdict("refused");
                    return undefined;
                default:
                    limits.recordUndecided(upstream, now + undecidedWaitMs);
                    onVerdict("undecided");
                    return undefined;
            }
        });
        return { grant, cancel: () => claim.cancel() };
    }
}
