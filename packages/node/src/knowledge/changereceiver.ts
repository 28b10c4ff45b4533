import type { CrashReport } from "@radishreel/fleet";
import { isAddress } from "@radishreel/wire";
import type { CrashGuard } from "../crashes/index.js";
import type { ShardOwnership } from "../ownership/ownership.js";
import type { ClusterChange } from "../ports.js";
import type { ClusterState } from "./cluster.js";
import type { ChangeSharing } from "./sharing.js";
import { recordUnreadable, type UnreadableOutputs } from "./unreadable.js";

/** Topic of unreadable changes, which other VMs forwarded. */
const forwardedTopic = "changes";

/** Options of {@link ChangeReceiver}. */
export interface ChangeReceiverOptions extends UnreadableOutputs {
    readonly cluster: ClusterState;
    readonly sharing: ChangeSharing;
    readonly crashGuard: CrashGuard;
    /** Undefined before this VM may lease shards. */
    readonly readOwnership: () => ShardOwnership | undefined;
}

/** Applies changes and crash reports from the store and from other VMs, and forwards what is new. */
export class ChangeReceiver {
    constructor(private readonly options: ChangeReceiverOptions) {}

    /** @param from The VM that sent the changes; undefined for the store. */
    receiveChanges(changes: readonly ClusterChange[], from?: string): void {
        const { cluster, sharing } = this.options;
        const newChanges = cluster.applyChanges(changes.map(change => this.checkChange(change, from)), from);
        if (newChanges.length === 0) {
            return;
        }
        sharing.forwardChanges(newChanges);
        this.receiveVersions(newChanges);
    }

    receiveCrashReports(reports: readonly CrashReport[]): void {
        const { crashGuard, sharing } = this.options;
        const newReports = crashGuard.receiveReports(reports);
        if (newReports.length > 0) {
            sharing.forwardMessage({ type: "crashReports", reports: newReports });
        }
    }

    /**
     * Checks a change. An upstream without a usable address, which a VM of another version may forward, counts as
     * removed, as if its entry were unreadable.
     */
    private checkChange(change: ClusterChange, from: string | undefined): ClusterChange {
        if (change.kind !== "upstream" || isAddress(change.upstream.address)) {
            return change;
        }
        const { upstream: { name }, position } = change;
        const why = `address: expected host:port, from ${from ?? "the store"}`;
        recordUnreadable({ topic: forwardedTopic, key: name, position, why }, this.options);
        return { kind: "upstreamGone", name, position };
    }

    private receiveVersions(changes: readonly ClusterChange[]): void {
        const { log, readOwnership } = this.options;
        for (const change of changes) {
            if (change.kind === "version") {
                log.recordImportant("adapterVersion", { key: change.key, version: change.version });
                readOwnership()?.engines.updateVersion(change.key, change.version);
            }
        }
    }
}
