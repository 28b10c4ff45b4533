import type { NodeIdentity } from "@radishreel/wire";
import type { Member } from "../ports.js";
import type { KnownMember } from "./wanted.js";

/** Other VMs that one VM knows, by address. What is told of one later adds to what is known; seeds have an address only. */
export class KnownMembers {
    private readonly members = new Map<string, KnownMember>();

    /** @param self The VM that knows them: it is none of the others. */
    constructor(private readonly self: Pick<NodeIdentity, "address">) {}

    get count(): number {
        return this.members.size;
    }

    /** Takes word of a VM. @returns Whether it was new. */
    update({ address, id, dataCentre }: KnownMember): boolean {
        if (address === this.self.address || address === "") {
            return false;
        }
        const known = this.members.get(address);
        const merged = { address, id: id ?? known?.id, dataCentre: dataCentre ?? known?.dataCentre };
        this.members.set(address, merged);
        return known === undefined || known.id !== merged.id || known.dataCentre !== merged.dataCentre;
    }

    remove(address: string): void {
        this.members.delete(address);
    }

    list(): KnownMember[] {
        return [...this.members.values()];
    }

    /** Those that are known by name. */
    listNamed(): Member[] {
        return this.list().flatMap(({ id, address, dataCentre }) =>
            id === undefined ? [] : [{ id, address, dataCentre }]
        );
    }
}
