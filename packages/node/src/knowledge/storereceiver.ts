import type { CrashReport } from "@radishreel/fleet";
import type { AccountGuard } from "../accounts/index.js";
import type { CrashGuard } from "../crashes/index.js";
import type { DecisionLog } from "../decisions.js";
import type { NodeMetrics } from "../metrics.js";
import type { ClusterChange, ClusterReceiver, Member, StoreEraEvent, UnreadableRecord } from "../ports.js";
import type { ClusterState } from "./cluster.js";
import type { OwnEntry } from "./ownentry.js";
import type { ChangeSharing } from "./sharing.js";
import { recordUnreadable } from "./unreadable.js";

/** Options of {@link StoreReceiver}. */
export interface StoreReceiverOptions {
    readonly log: DecisionLog;
    readonly metrics: NodeMetrics;
    readonly cluster: ClusterState;
    readonly sharing: ChangeSharing;
    readonly accounts: AccountGuard;
    readonly crashGuard: CrashGuard;
    readonly ownEntry: OwnEntry;
    readonly onChanges: (changes: readonly ClusterChange[]) => void;
    readonly onCrashReports: (reports: readonly CrashReport[]) => void;
    /** Called with the entry of this VM's earlier process, once all entries have been read. */
    readonly onMembersRead: (previous: Member | undefined) => void;
}

/** Passes what is read from the store to the parts of this VM that use it. */
export class StoreReceiver implements ClusterReceiver {
    constructor(private readonly options: StoreReceiverOptions) {}

    receiveChanges(changes: readonly ClusterChange[]): void {
        this.options.onChanges(changes);
    }

    receiveUpstreamList(names: ReadonlySet<string>, position: number): void {
        const { cluster, sharing } = this.options;
        const removals = cluster.applyUpstreamList(names, position);
        if (removals.length > 0) {
            sharing.forwardChanges(removals);
        }
    }

    receiveCrashReports(reports: readonly CrashReport[]): void {
        this.options.onCrashReports(reports);
    }

    receiveCrashReportNames(names: ReadonlySet<string>): void {
        this.options.crashGuard.receiveStoredNames(names);
    }

    receiveUnreadable(record: UnreadableRecord): void {
        recordUnreadable(record, this.options);
    }

    receiveConfirmed(asOf: number): void {
        this.options.accounts.recordConfirmed(asOf);
    }

    receiveMembersRead(): void {
        const { ownEntry, log, onMembersRead } = this.options;
        ownEntry.finishReading();
        log.recordImportant("past", { ...ownEntry.previous });
        onMembersRead(ownEntry.previous);
    }

    receiveReachable(isReachable: boolean, detail: string): void {
        const { cluster, sharing, log } = this.options;
        if (isReachable !== cluster.isStoreReachable) {
            log.recordImportant(isReachable ? "storeRegained" : "storeLost", { detail });
        }
        cluster.setReachable(isReachable);
        sharing.update();
    }

    receiveEraEvent(event: StoreEraEvent): void {
        const { log, metrics, cluster } = this.options;
        switch (event.kind) {
            case "restored":
                cluster.updateEra(event.era);
                return;
            case "topicRead": {
                const { topic, era, endBefore, end, records } = event;
                log.recordImportant("topicRead", { topic, era, endBefore, end, records });
                return;
            }
            case "memberRewritten":
                log.recordImportant("storeRewritten", { what: "member", names: [event.id] });
                return;
            case "unreadable":
                metrics.recordUnreadableEra();
                return;
        }
    }
}
