import type { FleetView } from "@radishreel/fleet";
import type { AccountGuard } from "./accounts/index.js";
import type { CrashGuard } from "./crashes/index.js";
import type { DecisionLog } from "./decisions.js";
import type { EdgeGuard } from "./edge/index.js";
import type { ClusterState } from "./knowledge/cluster.js";
import { IsolationMonitor } from "./knowledge/isolation.js";
import type { ChangeSharing } from "./knowledge/sharing.js";
import { HubMonitor } from "./links/hub.js";
import type { Peers } from "./links/peers.js";
import type { NodeMetrics } from "./metrics.js";
import type { OverloadMonitor } from "./overload.js";
import type { FairShares } from "./ownership/fairshares.js";
import type { ShardOwnership } from "./ownership/ownership.js";
import type { Quotas } from "./quotas/index.js";
import { SpeedMonitor } from "./speeds/index.js";
import type { Streams } from "./streams/index.js";

/** Options of {@link Housekeeping}. */
export interface HousekeepingOptions {
    readonly log: DecisionLog;
    readonly metrics: NodeMetrics;
    readonly view: FleetView;
    readonly cluster: ClusterState;
    readonly peers: Peers;
    readonly changeSharing: ChangeSharing;
    readonly crashGuard: CrashGuard;
    readonly accountGuard: AccountGuard;
    readonly quotas: Quotas;
    readonly streams: Streams;
    readonly overloadMonitor: OverloadMonitor;
    readonly edge: Pick<EdgeGuard, "update">;
    /** Undefined if accounts have no shares. */
    readonly fairShares: FairShares | undefined;
    readonly readTime: () => number;
    /** Undefined before this VM may lease shards. */
    readonly readOwnership: () => ShardOwnership | undefined;
}

/** The regular work of a VM: expires what is old, and updates what depends on time alone. */
export class Housekeeping {
    private readonly isolationMonitor = new IsolationMonitor();
    private readonly hubMonitor: HubMonitor;
    private readonly speedMonitor: SpeedMonitor;

    constructor(private readonly options: HousekeepingOptions) {
        this.hubMonitor = new HubMonitor({ startedAt: options.readTime() });
        this.speedMonitor = new SpeedMonitor({ ...options, registry: options.metrics.registry });
    }

    /** Whether this VM receives nothing from other data centres nor from the store. */
    get isIsolated(): boolean {
        return this.isolationMonitor.isIsolated;
    }

    run(): void {
        const { cluster, peers, changeSharing, crashGuard, accountGuard, quotas, streams } = this.options;
        const { overloadMonitor, edge, readOwnership, readTime } = this.options;
        overloadMonitor.check();
        edge.update();
        cluster.expireLapsed();
        peers.expireUnused();
        crashGuard.expireOld();
        accountGuard.update();
        quotas.update();
        quotas.expireOld();
        streams.update();
        this.speedMonitor.update();
        this.recordMetrics();
        const ownership = readOwnership();
        ownership?.update();
        this.options.fairShares?.update();
        peers.setHub(this.hubMonitor.update(ownership?.engines.hasEngines ?? false, readTime()));
        changeSharing.update();
        this.updateIsolation();
    }

    private recordMetrics(): void {
        const { metrics, view, cluster, crashGuard, accountGuard, streams } = this.options;
        metrics.setSuspectRequests(crashGuard.requestCount, crashGuard.droppedCount);
        metrics.setCondemnedParts(crashGuard.condemnedPartCount);
        metrics.setUpstreamLimits(view.limits.count);
        metrics.setStoreEra(cluster.storeEra);
        metrics.setConfigurationAge(accountGuard.configurationAgeMs);
        metrics.setStreamRecords(streams.directory.count);
    }

    private updateIsolation(): void {
        const { log, peers, readOwnership } = this.options;
        const othersSilenceMs = peers.readOtherDataCentresSilenceMs();
        const signals = {
            hasOthers: othersSilenceMs !== undefined,
            othersQuietMs: othersSilenceMs ?? 0,
            storeQuietMs: readOwnership()?.renewalAgeMs ?? 0,
            isMesh: peers.isMesh,
        };
        if (this.isolationMonitor.update(signals)) {
            log.recordImportant(this.isolationMonitor.isIsolated ? "isolated" : "isolationEnded", signals);
        }
    }
}
