import type { SoftwareClaims } from "@radishreel/fleet";
import { formatAddress } from "../listeners.js";
import type { NodeSettings } from "../options.js";
import type { ClusterStore, Member } from "../ports.js";

/** What the entry holds about the leases of this VM. */
type EntryState = Pick<Member, "generation" | "fences" | "hasLeft">;

/** Options of {@link OwnEntry}. */
export interface OwnEntryOptions {
    /** Identity of this VM in its entry. */
    readonly self: Pick<Member, "id" | "dataCentre" | "address" | "cores">;
    readonly store: ClusterStore;
}

/** This VM's entry in the store's list of VMs. */
export class OwnEntry {
    private previousEntry: Member | undefined;
    private hasReadPrevious = false;
    private state: EntryState = {};
    private softwareClaims: SoftwareClaims | undefined;
    private onClaimsConfirmed = (): void => {};

    constructor(private readonly options: OwnEntryOptions) {}

    /** The entry that an earlier process of this VM wrote; undefined if there is none. */
    get previous(): Member | undefined {
        return this.previousEntry;
    }

    /** Records an entry of this VM that was read. Those that this process wrote are ignored. */
    receiveEntry(member: Member): void {
        if (!this.hasReadPrevious) {
            this.previousEntry = member;
        }
    }

    /** Called when all entries that were in the store at the start have been read. */
    finishReading(): void {
        this.hasReadPrevious = true;
    }

    /** Writes the entry, which replaces the earlier one; an earlier process's entry is replaced only once it was read. */
    append(state: EntryState): void {
        this.state = state;
        this.write();
    }

    /**
     * Writes the entry with other claims of software versions.
     * @param onConfirmed Called when the store holds the claims.
     */
    appendClaims(softwareClaims: SoftwareClaims, onConfirmed: () => void): void {
        this.softwareClaims = softwareClaims;
        this.onClaimsConfirmed = onConfirmed;
        this.write();
    }

    private write(): void {
        if (!this.hasReadPrevious) {
            // The entry would lose the claims of the earlier process, whose streams may still be resumed.
            return;
        }
        const { softwareClaims, onClaimsConfirmed } = this;
        this.options.store.appendMember({ ...this.options.self, ...this.state, softwareClaims }, onClaimsConfirmed);
    }
}

/** Creates this VM's entry from its settings. */
export function createOwnEntry({ vm, dataCentre, peers, cores }: NodeSettings, store: ClusterStore): OwnEntry {
    return new OwnEntry({ self: { id: vm, dataCentre, address: formatAddress(peers), cores }, store });
}
