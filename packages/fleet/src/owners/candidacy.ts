import { rankByRendezvous } from "../rank.js";

/**
 * Engines that one owner serves. An owner reports its engines to all VMs once a second, so the messages that all VMs
 * receive grow with the owners; and the loss of an owner delays the loads of its engines for some seconds.
 */
const enginesPerOwner = 6;

/**
 * Smallest number of owners. The loss of a data centre, or of any few VMs, then leaves most engines with their owners,
 * and a deployment of few VMs is served as if all VMs were candidates.
 */
const minOwners = 12;

/**
 * How long a candidate without a link counts as running, in milliseconds: a VM that restarts, or whose link was lost,
 * is linked again within this time.
 */
const unlinkedGraceMs = 3000;

/**
 * How long a new process waits for links before it counts candidates as gone, in milliseconds. Candidates that start at
 * the same time own engines, and link to all VMs, after about 3 s.
 */
const startGraceMs = 6000;

/** Key under which candidates of the same capacity are ranked. */
const rankKey = "owners";

/** A VM that may own engines. */
export interface OwnerCandidate {
    readonly id: string;
    /** Processor cores that the VM may use; 0 if unknown. */
    readonly cores: number;
}

/** Number of VMs that are to own the engines of a deployment. */
export function readOwnerCount(engines: number): number {
    return Math.max(minOwners, Math.ceil(engines / enginesPerOwner));
}

/** Options of {@link OwnerCandidacy}. */
export interface OwnerCandidacyOptions {
    readonly self: OwnerCandidate;
    /** When this process started, in milliseconds. */
    readonly startedAt: number;
}

/**
 * Decides whether a VM is among those that own engines: the ones with the most processor cores. An owner admits all
 * requests to its engines and is linked to all VMs, which takes a share of a small VM's processor that delays requests.
 * VMs that cannot be reached are passed over, so that others take their place.
 */
export class OwnerCandidacy {
    private readonly linkedAt = new Map<string, number>();

    constructor(private readonly options: OwnerCandidacyOptions) {}

    /**
     * Whether this VM is to own engines.
     * @param others All other VMs that are known.
     * @param isLinked Whether there is a link to a VM; owners are linked to all VMs.
     */
    isCandidate(
        others: readonly OwnerCandidate[],
        ownerCount: number,
        isLinked: (vm: string) => boolean,
        now: number,
    ): boolean {
        const { self, startedAt } = this.options;
        if (others.length < ownerCount) {
            return true;
        }
        const isRunning = (id: string): boolean => {
            if (isLinked(id)) {
                this.linkedAt.set(id, now);
                return true;
            }
            return now - startedAt < startGraceMs || now - (this.linkedAt.get(id) ?? -Infinity) < unlinkedGraceMs;
        };
        const ahead = this.listAhead(self, others);
        return ahead.filter(({ id }) => isRunning(id)).length < ownerCount;
    }

    /** Lists the VMs that are preferred to this one: those with more cores, or the same number and a higher rank. */
    private listAhead(self: OwnerCandidate, others: readonly OwnerCandidate[]): OwnerCandidate[] {
        const equals = others.filter(({ cores }) => cores === self.cores);
        const ranked = rankByRendezvous(rankKey, [self, ...equals]);
        return [
            ...others.filter(({ cores }) => cores > self.cores),
            ...ranked.slice(0, ranked.findIndex(({ id }) => id === self.id)),
        ];
    }
}
