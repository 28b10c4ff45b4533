import { DirectPaths, type FleetView, Relays, type Upstream } from "@radishreel/fleet";
import { type ListenAddress, parseAddress } from "@radishreel/wire";
import type { DecisionLog } from "../decisions.js";
import type { Peers } from "../links/peers.js";
import {
    type ConnectOutcome,
    type ConnectTarget,
    DirectConnector,
    type OpenSocket,
    type UpstreamConnector,
} from "./connector.js";
import { checkListening, type ProbeResult } from "./probe.js";
import { TunnelConnector, type TunnelRelay } from "./tunnelconnector.js";
import { TunnelServer } from "./tunnelserver.js";

/** Maximum wait for a direct connection that this VM opens for another one, in milliseconds. */
const carriedTimeoutMs = 150;

/** Options of {@link Tunnels}. */
export interface TunnelsOptions {
    readonly dataCentre: string;
    /** Where this VM carries connections of others, if VMs do so. The port is the same on all VMs. */
    readonly address: ListenAddress | undefined;
    /** Most connections to the listener for tunnels. @default unlimited */
    readonly maxConnections?: number | undefined;
    /** Shared by all VMs of one deployment. */
    readonly secret: string;
    readonly view: FleetView;
    readonly peers: () => Pick<Peers, "listMembers" | "listHandoverTargets">;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    readonly openSocket: OpenSocket | undefined;
    readonly onOutcome: (outcome: ConnectOutcome | "tunnelled") => void;
}

/** Connects this VM to upstreams, directly or through other VMs, and carries connections of other VMs. */
export class Tunnels {
    readonly connector: UpstreamConnector;
    private readonly paths = new DirectPaths();
    private readonly server: TunnelServer;
    private readonly relays: Relays;

    constructor(private readonly options: TunnelsOptions) {
        const { secret, view, dataCentre, readTime } = options;
        const countUpstreams = (): number => view.listUpstreams().length;
        this.relays = new Relays(dataCentre);
        this.server = new TunnelServer({
            secret,
            maxConnections: options.maxConnections,
            paths: this.paths,
            connector: this.createDirect(carriedTimeoutMs),
            isKnown: (upstream, address) => view.findUpstream(upstream)?.upstream.address === address,
            countUpstreams,
            readTime,
        });
        this.connector = new TunnelConnector({
            secret,
            paths: this.paths,
            relays: this.relays,
            direct: this.createDirect(),
            listRelays: () => this.listRelays(),
            countUpstreams,
            readTime,
            onTunnel: () => options.onOutcome("tunnelled"),
        });
    }

    /** Number of connections that this VM carries for others. */
    get count(): number {
        return this.server.count;
    }

    async start(): Promise<void> {
        const { address } = this.options;
        if (address !== undefined) {
            await this.server.start(address);
        }
    }

    /** Refuses to carry further connections, since this VM is stopping. */
    pause(): void {
        this.server.pause();
    }

    stop(): void {
        this.server.stop();
    }

    removeUpstream(id: string): void {
        this.paths.remove(id);
    }

    removeVm(vm: string): void {
        this.relays.removeVm(vm);
    }

    /** Checks whether an upstream accepts connections, of this VM or of one that carries them. */
    checkListening(upstream: Upstream): Promise<ProbeResult> {
        return checkListening(this.connector, upstream);
    }

    private createDirect(timeoutMs?: number): DirectConnector {
        const { openSocket } = this.options;
        return new DirectConnector({
            openSocket,
            timeoutMs,
            onOutcome: (outcome, target) => this.recordOutcome(outcome, target),
        });
    }

    private recordOutcome(outcome: ConnectOutcome, { upstream }: ConnectTarget): void {
        const { onOutcome, log, readTime, view } = this.options;
        onOutcome(outcome);
        // A removed upstream that has left tells nothing about the paths of this VM, and nothing would forget it again.
        if (outcome === "cancelled" || view.findUpstream(upstream) === undefined) {
            return;
        }
        const before = this.paths.findFailure(upstream);
        if (outcome === "opened") {
            this.paths.recordOpened(upstream);
        }
        else {
            this.paths.recordFailed(upstream, outcome === "refused" ? "refused" : "silent", readTime());
        }
        const after = this.paths.findFailure(upstream);
        if (before !== after) {
            const failed = this.paths.failedCount;
            log.recordImportant(after === undefined ? "pathRegained" : "pathLost", { upstream, why: outcome, failed });
        }
    }

    /** Lists the linked VMs that are not stopping. */
    private listRelays(): TunnelRelay[] {
        const { peers, address } = this.options;
        if (address === undefined) {
            return [];
        }
        const linked = new Set(peers().listHandoverTargets());
        return peers().listMembers().filter(({ id }) => linked.has(id)).map(member => ({
            vm: member.id,
            dataCentre: member.dataCentre,
            address: `${parseAddress(member.address).host}:${address.port}`,
        }));
    }
}
