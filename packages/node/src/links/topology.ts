import type { NodeIdentity } from "@radishreel/wire";

/**
 * Number of other VMs up to which VMs form a full mesh. Beyond this number, only owners of engines are linked to all
 * VMs, since they admit requests, and each VM is linked to the first VMs of its data centre, which read the store for
 * it. The number of links then grows with the owners and not with the square of the VMs.
 */
const maxMeshPeers = 12;

/** VMs per data centre to which a VM is linked: the reader of the store, and the next VM by name. */
const neighbourCount = 2;

/** A VM as reported by other VMs; seeds have an address only. */
export interface KnownMember {
    readonly id: string | undefined;
    readonly address: string;
    readonly dataCentre?: string | undefined;
    /** Processor cores that the VM may use; undefined if unknown. */
    readonly cores?: number | undefined;
}

/** Options of {@link listDesiredLinks}. */
export interface DesiredLinksOptions {
    readonly self: Pick<NodeIdentity, "id" | "dataCentre">;
    /** Known other VMs. */
    readonly members: readonly KnownMember[];
    /** Whether this VM owns engines. */
    readonly isHub: boolean;
}

/** Whether the VMs are so few that they form a full mesh, with a link in each direction. */
export function isMesh(others: number): boolean {
    return others <= maxMeshPeers;
}

/** Lists the addresses of the VMs to which a VM opens links and keeps them open. */
export function listDesiredLinks(options: DesiredLinksOptions): Set<string> {
    const { members, isHub } = options;
    if (isHub || isMesh(members.length)) {
        return new Set(members.map(({ address }) => address));
    }
    const seeds = members.filter(({ id }) => id === undefined);
    return new Set([...seeds, ...listNeighbours(options)].map(({ address }) => address));
}

/**
 * Lists the first VMs, by name, of the own data centre. If this VM is among them, also lists the first VMs of all other
 * data centres, so that the readers of the store learn of each other.
 */
function listNeighbours({ self, members }: DesiredLinksOptions): KnownMember[] {
    const ownNeighbours = listFirst([...members, { ...self, address: "" }], self.dataCentre);
    if (!ownNeighbours.some(({ id }) => id === self.id)) {
        return listFirst(members, self.dataCentre);
    }
    const centres = new Set(members.map(({ dataCentre }) => dataCentre));
    return [...centres].flatMap(centre => listFirst(members, centre));
}

/** Lists the first VMs of a data centre, by name. */
function listFirst(members: readonly KnownMember[], dataCentre: string | undefined): KnownMember[] {
    return members
        .filter(member => member.dataCentre === dataCentre && member.id !== undefined)
        .sort((left, right) => left.id! < right.id! ? -1 : 1)
        .slice(0, neighbourCount);
}
