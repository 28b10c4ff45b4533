import type { Upstream } from "@radishreel/fleet";

/** What has been read of one upstream's name. */
interface RegisteredName {
    /** Start of the newest incarnation. */
    bornAt: number;
    /** Position of its newest entry. */
    entryPosition: number;
    /** Position of the newest word that no entry stands under the name. */
    gonePosition: number;
}

/** What an entry or a removal means. */
export type RegistryVerdict =
    /** It is known already. */
    | "known"
    /** It is of an incarnation before the newest one. */
    | "earlier"
    /** The name stands for an upstream now. */
    | "present"
    /** No upstream stands under the name. */
    | "gone";

/**
 * Which incarnation each name stands for. Entries and removals come from the store and from peers, in any order and more
 * than once; whatever the order, all VMs that have seen the same ones agree: the newest incarnation counts, from its newest
 * entry on, unless a later record has removed it.
 */
export class Registry {
    private readonly names = new Map<string, RegisteredName>();

    applyEntry(upstream: Upstream, position: number): RegistryVerdict {
        const known = this.findName(upstream.name);
        if (upstream.bornAt < known.bornAt) {
            return "earlier";
        }
        if (upstream.bornAt === known.bornAt && position <= known.entryPosition) {
            return "known";
        }
        known.bornAt = upstream.bornAt;
        known.entryPosition = position;
        return position > known.gonePosition ? "present" : "gone";
    }

    applyRemoval(name: string, position: number): RegistryVerdict {
        const known = this.findName(name);
        if (position <= known.gonePosition) {
            return "known";
        }
        known.gonePosition = position;
        return position > known.entryPosition ? "gone" : "known";
    }

    /** Position of the newest entry under a name; -1 if there was none. */
    readEntryPosition(name: string): number {
        return this.names.get(name)?.entryPosition ?? -1;
    }

    private findName(name: string): RegisteredName {
        const known = this.names.get(name) ?? { bornAt: -1, entryPosition: -1, gonePosition: -1 };
        this.names.set(name, known);
        return known;
    }
}
