import type { Upstream } from "@radishreel/fleet";

/** What was read about one upstream name. */
interface NameRegistration {
    /** Start time of the newest incarnation. */
    bornAt: number;
    /** Position of the newest entry of that incarnation. */
    entryPosition: number;
    /** Position of the newest removal of the name. */
    removalPosition: number;
}

/** Effect of an entry or a removal. */
export type RegistrationOutcome =
    /** The record is already known. */
    | "known"
    /** The entry belongs to an earlier incarnation than the newest one. */
    | "earlier"
    /** The name is registered now. */
    | "present"
    /** The name is not registered. */
    | "gone";

/**
 * Maps each upstream name to its incarnation. Entries and removals arrive from the store and from peers, in any order
 * and more than once. All VMs that received the same records agree, whatever the order: the newest entry of the newest
 * incarnation is valid unless a record at a later position removed it.
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
        known.bornAt = upstream.bornAt;
        known.entryPosition = position;
        return position > known.removalPosition ? "present" : "gone";
    }

    applyRemoval(name: string, position: number): RegistrationOutcome {
        const known = this.findRegistration(name);
        if (position <= known.removalPosition) {
            return "known";
        }
        known.removalPosition = position;
        return position > known.entryPosition ? "gone" : "known";
    }

    /** Reads the position of the newest entry under a name; -1 if there was none. */
    readEntryPosition(name: string): number {
        return this.registrations.get(name)?.entryPosition ?? -1;
    }

    private findRegistration(name: string): NameRegistration {
        const known = this.registrations.get(name) ?? { bornAt: -1, entryPosition: -1, removalPosition: -1 };
        this.registrations.set(name, known);
        return known;
    }
}
