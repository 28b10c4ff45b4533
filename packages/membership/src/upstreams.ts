/** What is known of one upstream VM. */
export interface UpstreamVm {
    readonly id: string;
    readonly kind: "engine" | "service";
    readonly address: string;
    readonly dataCentre: string;
    /** Services only: which one. */
    readonly service?: string;
}

/** A VM as the platform's list gives it. */
export interface ListedVm extends UpstreamVm {
    readonly state: "live" | "leaving";
}

/** An upstream with what its last words said. */
export interface KnownUpstream extends UpstreamVm {
    readonly isLeaving: boolean;
}

interface Known {
    vm: UpstreamVm;
    /** Process that said it leaves; another process at the same place is a new upstream. */
    leavingInstance: string | undefined;
    listedLeaving: boolean;
    instance: string | undefined;
}

/**
 * The upstreams of a data centre. The list of VMs seeds and confirms; a word that an upstream leaves counts from
 * whoever says it first, and is not taken back by a list that lags.
 */
export class UpstreamDirectory {
    private readonly known = new Map<string, Known>();

    constructor(private readonly dataCentre: string) {}

    /** Takes the platform's list. Returns whether anything changed. */
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
        for (const id of this.known.keys()) {
            if (!present.has(id)) {
                this.known.delete(id);
                changed = true;
            }
        }
        return changed;
    }

    /** Takes a word that an upstream leaves. `instance` is the process it is about, where that is known. */
    receiveLeaving(id: string, instance: string | undefined): boolean {
        const known = this.known.get(id);
        if (known === undefined || known.leavingInstance !== undefined) {
            return false;
        }
        known.leavingInstance = instance ?? known.instance ?? unknownInstance;
        return true;
    }

    /** Takes an upstream's own word that it is live, with its instance. A new process ends an older one's leaving. */
    receiveLive(id: string, instance: string): boolean {
        const known = this.known.get(id);
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
        return [...this.known.values()].map(known => ({
            ...known.vm,
            isLeaving: known.listedLeaving || known.leavingInstance !== undefined,
        }));
    }

    find(id: string): KnownUpstream | undefined {
        return this.list().find(upstream => upstream.id === id);
    }

    private receiveListed(listed: ListedVm): boolean {
        const { state, ...vm } = listed;
        const known = this.known.get(vm.id);
        const listedLeaving = state === "leaving";
        if (known === undefined || known.vm.address !== vm.address) {
            this.known.set(vm.id, { vm, leavingInstance: undefined, listedLeaving, instance: undefined });
            return true;
        }
        const changed = known.listedLeaving !== listedLeaving;
        known.vm = vm;
        known.listedLeaving = listedLeaving;
        return changed;
    }
}

/** Stands for a process that said it leaves before anybody learnt its instance. */
const unknownInstance = "";
