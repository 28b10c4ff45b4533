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
    /** Agents of the data centre that are alive, this one among them. */
    readonly listAgentIds: () => string[];
    readonly onEntryVms: (vms: EntryVm[]) => void;
    /** The upstreams of the data centre, or what is known of them, changed. */
    readonly onChange: () => void;
    /** This agent was the first here to hear that an upstream leaves. */
    readonly onLeaving: (upstreamId: string, instance: string | undefined) => void;
}

/** Watches the data centre's upstreams: the platform's list, the word of gateways and peers, and their own status. */
export class UpstreamTask {
    private readonly directory: UpstreamDirectory;
    private readonly stopping = new AbortController();
    private readonly asked = new Set<string>();
    private dataCentres = new Set<string>();
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: UpstreamTaskOptions) {
        this.directory = new UpstreamDirectory(options.settings.dataCentre);
    }

    start(): void {
        void this.followList();
        this.timer = setInterval(() => this.askServices(), this.options.settings.statusMs);
    }

    stop(): void {
        this.stopping.abort();
        clearInterval(this.timer);
    }

    /** Every data centre of the platform's list. */
    listDataCentres(): string[] {
        return [...this.dataCentres];
    }

    listEngines(): KnownUpstream[] {
        return this.directory.list().filter(upstream => upstream.kind === "engine");
    }

    /** Service upstreams that this agent watches for the data centre. */
    listOwnServices(): ServiceUpstream[] {
        return this.listOwned().map(({ id, address, service, isLeaving }) => ({
            id,
            address,
            service: service ?? "",
            isLeaving,
        }));
    }

    /** Takes a word that an upstream leaves. Returns whether it was news. */
    receiveLeaving(upstreamId: string, instance: string | undefined): boolean {
        if (!this.directory.receiveLeaving(upstreamId, instance)) {
            return false;
        }
        this.options.logger.info("upstream is leaving", { upstream: upstreamId });
        this.options.onLeaving(upstreamId, instance);
        this.options.onChange();
        return true;
    }

    /** Takes an upstream's own word. */
    receiveStatus(upstreamId: string, instance: string, state: "live" | "leaving"): void {
        if (state === "leaving") {
            this.receiveLeaving(upstreamId, instance);
            return;
        }
        if (this.directory.receiveLive(upstreamId, instance)) {
            this.options.logger.info("upstream is back", { upstream: upstreamId });
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

    private askServices(): void {
        for (const { id, address } of this.listOwned()) {
            if (!this.asked.has(id)) {
                void this.askService(id, address);
            }
        }
    }

    /** At most one question is under way to an upstream, so that a silent one is not flooded. */
    private async askService(id: string, address: string): Promise<void> {
        this.asked.add(id);
        const status = await this.options.orders.readServiceStatus(address);
        this.asked.delete(id);
        if (status.isOk()) {
            this.receiveStatus(id, status.value.instance, status.value.state);
        }
    }
}
