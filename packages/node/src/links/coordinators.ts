import type { FleetView } from "@radishreel/fleet";
import type { Peers } from "./peers.js";

/** Options of {@link Coordinators}. */
export interface CoordinatorsOptions {
    readonly vm: string;
    readonly view: FleetView;
    readonly peers: Pick<Peers, "isMesh" | "listHandoverTargets">;
    /** Whether a VM is believed to reply. */
    readonly isResponsive: (vm: string) => boolean;
    /** Whether this VM is stopping. */
    readonly isStopping: () => boolean;
}

/**
 * The VMs that can act as coordinators for all VMs: any VM if all VMs are linked to each other, else owners of engines,
 * to which all VMs are linked.
 */
export class Coordinators {
    constructor(private readonly options: CoordinatorsOptions) {}

    list(): string[] {
        const { vm, view, peers } = this.options;
        const known = [vm, ...peers.listHandoverTargets()];
        if (peers.isMesh) {
            return known;
        }
        const owners = new Set(view.listUpstreams().map(({ owner }) => owner));
        return known.filter(candidate => owners.has(candidate));
    }

    /** Lists the VMs that can coordinate quotas. A stopping VM still has requests, whose claims go to other VMs. */
    listForQuotas(): string[] {
        const { vm, isResponsive, isStopping } = this.options;
        return this.list().filter(candidate => isResponsive(candidate) && !(isStopping() && candidate === vm));
    }
}
