import { type FleetView, rankByRendezvous } from "@radishreel/fleet";
import type { Peers } from "./peers.js";

/** VMs that keep the origins of streams: the loss of half of all VMs spares one of them in 31 of 32 cases. */
const maxStreamHolders = 5;

/** Key by which the holders are ranked among the coordinators. */
const streamHolderKey = "streams";

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

    /**
     * Lists the VMs that keep the origins of streams, which may include this one: all VMs if they are linked to each
     * other, else the same few coordinators for all streams.
     */
    listStreamHolders(): string[] {
        const candidates = this.list();
        return this.options.peers.isMesh
            ? candidates
            : rankByRendezvous(streamHolderKey, candidates.map(id => ({ id }))).slice(0, maxStreamHolders)
                .map(({ id }) => id);
    }

    /** Lists the VMs that can coordinate quotas. A stopping VM still has requests, whose claims go to other VMs. */
    listForQuotas(): string[] {
        const { vm, isResponsive, isStopping } = this.options;
        return this.list().filter(candidate => isResponsive(candidate) && !(isStopping() && candidate === vm));
    }
}
