import { readEra, readNumber, type Upstream } from "@radishreel/fleet";

/** What was read about one upstream name. */
interface NameRegistration {
    /** Start time of the newest incarnation. */
    bornAt: number;
    /** Position of the newest entry of that incarnation. */
    entryPosition: number;
    /** Position of the newest removal of the name. A removal at the position of the entry makes the entry doubtful. */
    removalPosition: number;
    /** Removals up to this position are known to be wrong. */
    admittedPosition: number;
}

/** Effect of an entry or a removal. */
export type RegistrationOutcome =
    /** The record is already known. */
    | "known"
    /** The entry belongs to an earlier incarnation than the newest one. */
    | "earlier"
    /** The name is registered now. */
    | "present"
    /** A restored copy of the store shows the entry, which was removed before: the upstream may be gone. */
    | "doubtful"
    /** The name is not registered. */
    | "gone";

/**
 * Maps each upstream name to its incarnation. Entries and removals arrive from the store and from peers, in any order
 * and more than once. All VMs that received the same records agree, whatever the order: the newest entry of the newest
 * incarnation is valid unless a record at a later position removed it. An entry that was removed in an earlier era of
 * the store, and that a restored copy shows again, is not valid until it is written again or {@link admitEntry}.
 */
export class UpstreamRegistry {
    private readonly registrations = new Map<string, NameRegistration>();

    applyEntry(upstream: Upstream, position: number): RegistrationOutcome {
        const known = this.findRegistration(upstream.name);
        if (upstream.bornAt < known.bornAt) {
            return "earlier";
        }
        if (upstream.bornAt === known.bornAt && position <= known.entryPosition) {
            return "known";
        }
        if (upstream.bornAt === known.bornAt && isShownAgain(known, position)) {
            known.entryPosition = position;
            known.removalPosition = position;
            return "doubtful";
        }
        known.bornAt = upstream.bornAt;
        known.entryPosition = position;
        if (position === known.removalPosition) {
            return "doubtful";
        }
        return position > known.removalPosition ? "present" : "gone";
    }

    applyRemoval(name: string, position: number): RegistrationOutcome {
        const known = this.findRegistration(name);
        if (position <= Math.max(known.removalPosition, known.admittedPosition)) {
            return "known";
        }
        known.removalPosition = position;
        if (position === known.entryPosition) {
            return "doubtful";
        }
        return position > known.entryPosition ? "gone" : "known";
    }

    /** Whether the newest entry under a name is doubtful. */
    isDoubtful(name: string): boolean {
        const known = this.registrations.get(name);
        return known !== undefined && known.entryPosition === known.removalPosition;
    }

    /** Records that the upstream of a doubtful entry runs. */
    admitEntry(name: string): void {
        const known = this.findRegistration(name);
        known.admittedPosition = known.entryPosition;
        known.removalPosition = -1;
    }

    /** Reads the position of the newest entry under a name; -1 if there was none. */
    readEntryPosition(name: string): number {
        return this.registrations.get(name)?.entryPosition ?? -1;
    }

    private findRegistration(name: string): NameRegistration {
        const known = this.registrations.get(name)
            ?? { bornAt: -1, entryPosition: -1, removalPosition: -1, admittedPosition: -1 };
        this.registrations.set(name, known);
        return known;
    }
}

/**
 * Whether an entry may be the record that was removed before. A copy of the store holds only records up to the last
 * entry before the removal; an entry at a higher offset was written after the copy was restored.
 */
function isShownAgain({ entryPosition, removalPosition }: NameRegistration, position: number): boolean {
    return entryPosition <= removalPosition && readEra(position) > readEra(removalPosition)
        && readNumber(position) <= readNumber(entryPosition);
}
