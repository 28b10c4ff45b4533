import { isAddress, type NodeIdentity } from "@radishreel/wire";
import type { Member } from "../ports.js";
import type { KnownMember } from "./topology.js";

/** Other VMs that one VM knows, by address. Later updates add missing details; seeds have an address only. */
export class KnownMembers {
    private readonly members = new Map<string, KnownMember>();

    /** @param self The VM itself, which is never listed. */
    constructor(private readonly self: Pick<NodeIdentity, "address">) {}

    get count(): number {
        return this.members.size;
    }

    /** Adds a VM or its details; ignores a VM without a usable address. @returns Whether this changed what was known. */
    update({ address, id, dataCentre, cores }: KnownMember): boolean {
        if (address === this.self.address || !isAddress(address)) {
            return false;
        }
        const known = this.members.get(address);
        const merged = {
            address,
            id: id ?? known?.id,
            dataCentre: dataCentre ?? known?.dataCentre,
            cores: cores ?? known?.cores,
        };
        this.members.set(address, merged);
        return known === undefined || known.id !== merged.id || known.dataCentre !== merged.dataCentre;
    }

    remove(address: string): void {
        this.members.delete(address);
    }

    list(): KnownMember[] {
        return [...this.members.values()];
    }

    /** Lists the VMs whose names are known. */
    listNamed(): Member[] {
        return this.list().flatMap(({ id, address, dataCentre, cores }) =>
            id === undefined ? [] : [{ id, address, dataCentre, cores }]
        );
    }
}
