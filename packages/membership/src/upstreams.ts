/** An upstream VM. */
export interface UpstreamVm {
    readonly id: string;
    readonly kind: "engine" | "service";
    readonly address: string;
    readonly dataCentre: string;
    /** Name of the service; set for services only. */
    readonly service?: string;
}

/** A VM in the platform's list. */
export interface ListedVm extends UpstreamVm {
    readonly state: "live" | "leaving";
}

/** An upstream and whether it is leaving, by the platform's list or a leaving message. */
export interface KnownUpstream extends UpstreamVm {
    readonly isLeaving: boolean;
}

interface UpstreamEntry {
    vm: UpstreamVm;
    /** Instance of the process that is leaving; a later process on the same VM is a new upstream. */
    leavingInstance: string | undefined;
    listedLeaving: boolean;
    instance: string | undefined;
}

/**
 * The upstreams of a data centre. The platform's list adds and removes them. The first message that an upstream is
 * leaving takes effect, whoever sends it; a list that lags behind does not revert it.
 */
export class UpstreamDirectory {
    private readonly entryById = new Map<string, UpstreamEntry>();

    constructor(private readonly dataCentre: string) {}

    /** Applies the platform's list. Returns whether an upstream was added, replaced, removed or changed state. */
    receiveList(vms: readonly ListedVm[]): boolean {
        let changed = false;
        const present = new Set<string>();
        for (const vm of vms) {
            if (vm.dataCentre !== this.dataCentre) {
                continue;
            }
            present.add(vm.id);
            changed = this.receiveListed(vm) || changed;
        }
        for (const id of this.entryById.keys()) {
            if (!present.has(id)) {
                this.entryById.delete(id);
                changed = true;
            }
        }
        return changed;
    }

    /**
     * Records that an upstream is leaving. Returns whether this is new.
     * @param instance The leaving process, if known.
     */
    receiveLeaving(id: string, instance: string | undefined): boolean {
        const known = this.entryById.get(id);
        if (known === undefined || known.leavingInstance !== undefined) {
            return false;
        }
        known.leavingInstance = instance ?? known.instance ?? unknownInstance;
        return true;
    }

    /**
     * Records an upstream's own report that its process `instance` is live. If a known earlier process was leaving, the
     * upstream is live again. Returns whether that is the case.
     */
    receiveLive(id: string, instance: string): boolean {
        const known = this.entryById.get(id);
        if (known === undefined) {
            return false;
        }
        known.instance = instance;
        const isNewProcess = known.leavingInstance !== undefined && known.leavingInstance !== instance;
        if (!isNewProcess || known.leavingInstance === unknownInstance) {
            return false;
        }
        known.leavingInstance = undefined;
        return true;
    }

    list(): KnownUpstream[] {
        return [...this.entryById.values()].map(known => ({
            ...known.vm,
            isLeaving: known.listedLeaving || known.leavingInstance !== undefined,
        }));
    }

    find(id: string): KnownUpstream | undefined {
        return this.list().find(upstream => upstream.id === id);
    }

    private receiveListed(listed: ListedVm): boolean {
        const { state, ...vm } = listed;
        const known = this.entryById.get(vm.id);
        const listedLeaving = state === "leaving";
        if (known === undefined || known.vm.address !== vm.address) {
            this.entryById.set(vm.id, { vm, leavingInstance: undefined, listedLeaving, instance: undefined });
            return true;
        }
        const changed = known.listedLeaving !== listedLeaving;
        known.vm = vm;
        known.listedLeaving = listedLeaving;
        return changed;
    }
}

/** Placeholder for a leaving process whose instance is unknown. */
const unknownInstance = "";
