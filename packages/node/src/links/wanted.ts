import type { NodeIdentity } from "@radishreel/wire";

/**
 * Up to so many other VMs, each is linked to each. Beyond that only owners of engines are linked to all, since requests are
 * let in there, and each VM to the first ones of its data centre, which read the store for it: links then grow with the
 * owners and not with the square of the VMs.
 */
const meshVms = 12;

/** VMs of the own data centre to which each one is linked: the one that reads the store, and the next one. */
const neighbourVms = 2;

/** A VM as others have told of it; seeds have an address only. */
export interface KnownMember {
    readonly id: string | undefined;
    readonly address: string;
    readonly dataCentre?: string | undefined;
}

/** Options of {@link listWantedLinks}. */
export interface WantedLinksOptions {
    readonly self: Pick<NodeIdentity, "id" | "dataCentre">;
    /** Other VMs that are known. */
    readonly members: readonly KnownMember[];
    /** Whether this VM owns engines. */
    readonly isHub: boolean;
}

/** Whether the VMs are so few that each is linked to each, by a link of its own. */
export function isMesh(others: number): boolean {
    return others <= meshVms;
}

/** Addresses of the VMs to which a VM opens links by itself and keeps them open. */
export function listWantedLinks(options: WantedLinksOptions): Set<string> {
    const { members, isHub } = options;
    if (isHub || isMesh(members.length)) {
        return new Set(members.map(({ address }) => address));
    }
    const seeds = members.filter(({ id }) => id === undefined);
    return new Set([...seeds, ...listNeighbours(options)].map(({ address }) => address));
}

/**
 * The first VMs, by name, of the own data centre; for one of these also those of all other data centres, so that the VMs
 * which read the store hear of each other.
 */
function listNeighbours({ self, members }: WantedLinksOptions): KnownMember[] {
    const near = listFirst([...members, { ...self, address: "" }], self.dataCentre);
    if (!near.some(({ id }) => id === self.id)) {
        return listFirst(members, self.dataCentre);
    }
    const centres = new Set(members.map(({ dataCentre }) => dataCentre));
    return [...centres].flatMap(centre => listFirst(members, centre));
}

/** The first VMs of a data centre, by name. */
function listFirst(members: readonly KnownMember[], dataCentre: string | undefined): KnownMember[] {
    return members
        .filter(member => member.dataCentre === dataCentre && member.id !== undefined)
        .sort((left, right) => left.id! < right.id! ? -1 : 1)
        .slice(0, neighbourVms);
}
