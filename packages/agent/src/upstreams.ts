import type { VmListClient } from "@radishreel/log";
import { findOwner, type KnownUpstream, type ListedVm, UpstreamDirectory } from "@radishreel/membership";
import type { ServiceUpstream } from "@radishreel/protocol";
import type { Logger } from "@radishreel/telemetry";
import type { OrderClient } from "@radishreel/upstreams";
import { setTimeout as sleep } from "node:timers/promises";
import { Backoff } from "./backoff.js";
import type { EntryVm } from "./peers.js";
import type { AgentSettings } from "./settings.js";

/** Options of {@link UpstreamTask}. */
export interface UpstreamTaskOptions {
    readonly settings: AgentSettings;
    readonly vmList: VmListClient;
    readonly orders: OrderClient;
    readonly logger: Logger;
    /** Lists the live agents of the data centre, including this agent. */
    readonly listAgentIds: () => string[];
    readonly onEntryVms: (vms: EntryVm[]) => void;
    /** Called when the upstreams of the data centre, or their known state, have changed. */
    readonly onChange: () => void;
    /** Called when this agent learns that an upstream is leaving. */
    readonly onLeaving: (upstreamId: string, instance: string | undefined) => void;
}

/** Watches the data centre's upstreams: the platform's list, messages of gateways and peers, and upstream status. */
export class UpstreamTask {
    private readonly directory: UpstreamDirectory;
    private readonly stopping = new AbortController();
    private readonly pendingStatusRequests = new Set<string>();
    private dataCentres = new Set<string>();
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: UpstreamTaskOptions) {
        this.directory = new UpstreamDirectory(options.settings.dataCentre);
    }

    start(): void {
        void this.followList();
        this.timer = setInterval(() => this.askServiceStatuses(), this.options.settings.statusMs);
    }

    stop(): void {
        this.stopping.abort();
        clearInterval(this.timer);
    }

    /** Lists every data centre in the platform's list of VMs. */
    listDataCentres(): string[] {
        return [...this.dataCentres];
    }

    listEngines(): KnownUpstream[] {
        return this.directory.list().filter(upstream => upstream.kind === "engine");
    }

    /** Lists the service upstreams that this agent watches for the data centre. */
    listOwnServices(): ServiceUpstream[] {
        return this.listOwned().map(({ id, address, service, isLeaving }) => ({
            id,
            address,
            service: service ?? "",
            isLeaving,
        }));
    }

    /** Handles a message that an upstream is leaving. Returns false if this was already known. */
    receiveLeaving(upstreamId: string, instance: string | undefined): boolean {
        if (!this.directory.receiveLeaving(upstreamId, instance)) {
            return false;
        }
        this.options.logger.info("upstream is leaving", { upstream: upstreamId });
        this.options.onLeaving(upstreamId, instance);
        this.options.onChange();
        return true;
    }

    /** Handles the status that an upstream reported. */
    receiveStatus(upstreamId: string, instance: string, state: "live" | "leaving"): void {
        if (state === "leaving") {
            this.receiveLeaving(upstreamId, instance);
            return;
        }
        if (this.directory.receiveLive(upstreamId, instance)) {
            this.options.logger.info("upstream is live again", { upstream: upstreamId });
            this.options.onChange();
        }
    }

    private async followList(): Promise<void> {
        const backoff = new Backoff();
        let isReachable = true;
        while (!this.stopping.signal.aborted) {
            const vms = await this.options.vmList.list();
            if (vms.isOk()) {
                backoff.recordSuccess();
                this.receiveList(vms.value);
            }
            if (vms.isOk() !== isReachable) {
                isReachable = vms.isOk();
                this.options.logger.info(
                    isReachable ? "the list of VMs is reachable again" : "the list of VMs is not reachable",
                );
            }
            const waitMs = vms.isOk() ? this.options.settings.vmListMs : backoff.readNextMs();
            await sleep(waitMs, undefined, { signal: this.stopping.signal }).catch(() => undefined);
        }
    }

    private receiveList(
        vms: readonly {
            id: string;
            role: string;
            dataCentre: string;
            address: string;
            state: "live" | "leaving";
            service?: string;
        }[],
    ): void {
        this.dataCentres = new Set(vms.map(vm => vm.dataCentre));
        this.options.onEntryVms(vms.filter(vm => vm.role === "entry"));
        const upstreams: ListedVm[] = vms
            .filter(vm => vm.role !== "entry")
            .map(({ id, role, dataCentre, address, state, service }) => ({
                id,
                kind: role === "engine" ? "engine" : "service",
                dataCentre,
                address,
                state,
                service,
            }));
        if (this.directory.receiveList(upstreams)) {
            this.options.onChange();
        }
    }

    private listOwned(): KnownUpstream[] {
        const agents = this.options.listAgentIds();
        const self = this.options.settings.id;
        return this.directory.list().filter(upstream =>
            upstream.kind === "service" && findOwner(upstream.id, agents) === self
        );
    }

    private askServiceStatuses(): void {
        for (const { id, address } of this.listOwned()) {
            if (!this.pendingStatusRequests.has(id)) {
                void this.askServiceStatus(id, address);
            }
        }
    }

    /** Requests a service's status. One request per upstream at a time, so that an unresponsive one is not flooded. */
    private async askServiceStatus(id: string, address: string): Promise<void> {
        this.pendingStatusRequests.add(id);
        const status = await this.options.orders.readServiceStatus(address);
        this.pendingStatusRequests.delete(id);
        if (status.isOk()) {
            this.receiveStatus(id, status.value.instance, status.value.state);
        }
    }
}
