import type { CrashReport, EngineStatus } from "@radishreel/fleet";
import type { AccountGuard } from "../accounts/index.js";
import type { CrashGuard } from "../crashes/index.js";
import type { AnnouncementSharing } from "../knowledge/announcements.js";
import type { ChangeSharing } from "../knowledge/sharing.js";
import type { FairShares } from "../ownership/fairshares.js";
import type { ShardOwnership } from "../ownership/ownership.js";
import type { ClusterChange } from "../ports.js";
import type { Quotas } from "../quotas/index.js";
import type { Admissions } from "../requests/admissions.js";
import type { StreamDirectory } from "../streams/index.js";
import type { PeerMessage } from "./messages.js";
import type { Peers } from "./peers.js";

/** Messages about shards and engines. */
type OwnershipMessage = Extract<
    PeerMessage,
    {
        type:
            | "admit"
            | "begun"
            | "ended"
            | "runs"
            | "prepare"
            | "missing"
            | "release"
            | "handover"
            | "claimQuery"
            | "claimState";
    }
>;

/** Options of {@link PeerDispatcher}. */
export interface PeerDispatcherOptions {
    readonly peers: Peers;
    readonly sharing: ChangeSharing;
    readonly announcements: AnnouncementSharing;
    readonly guard: CrashGuard;
    readonly accounts: AccountGuard;
    readonly quotas: Quotas;
    readonly streams: Pick<StreamDirectory, "receiveMessage">;
    readonly admissions: Admissions;
    /** Undefined before this VM may lease shards. */
    readonly readOwnership: () => ShardOwnership | undefined;
    /** Undefined if accounts have no shares. */
    readonly fairShares: Pick<FairShares, "receiveReport"> | undefined;
    readonly onChanges: (vm: string, changes: readonly ClusterChange[]) => void;
    readonly onCrashReports: (reports: readonly CrashReport[]) => void;
    readonly onStatuses: (vm: string, statuses: readonly EngineStatus[]) => void;
    /** Called when a VM announces that it is stopping. */
    readonly onLeaving: (vm: string) => void;
}

/** Dispatches each message of another VM to the component that handles it. */
export class PeerDispatcher {
    constructor(private readonly options: PeerDispatcherOptions) {}

    dispatch(vm: string, message: PeerMessage): void {
        const { peers, sharing, announcements, guard, accounts, quotas, admissions, streams } = this.options;
        const { onChanges, onCrashReports, onStatuses, onLeaving } = this.options;
        switch (message.type) {
            case "members":
                message.members.forEach(member => peers.addPeer(member));
                return;
            case "changes":
                onChanges(vm, message.changes);
                return;
            case "upstreamsLeaving":
                announcements.receiveLeaving(vm, message.upstreams);
                return;
            case "upstreamLimits":
                announcements.receiveLimits(vm, message.limits);
                return;
            case "crashReports":
                onCrashReports(message.reports);
                return;
            case "claimPermit":
            case "permitAnswer":
            case "releasePermit":
                guard.receiveMessage(vm, message);
                return;
            case "confirmQuery":
            case "confirmation":
                accounts.receiveMessage(vm, message);
                return;
            case "leaseShare":
            case "claimQuota":
            case "quotaAnswer":
            case "returnQuota":
            case "cancelClaim":
                quotas.receiveMessage(vm, message);
                return;
            case "streamsBegun":
            case "streamQuery":
            case "streamReply":
                streams.receiveMessage(vm, message);
                return;
            case "positions":
                this.receivePositions(vm, message);
                return;
            case "pull":
                sharing.receivePull(vm, message.positions);
                return;
            case "follow":
                this.sendMembers(vm, message.isWanted);
                sharing.receiveFollow(vm, message.isWanted, message.positions);
                return;
            case "news":
                onStatuses(vm, message.news);
                return;
            case "accountUse":
                this.options.fairShares?.receiveReport(vm, message.usage);
                return;
            case "admission":
                admissions.receiveReply(vm, message.answer);
                return;
            case "leaving":
                peers.recordLeaving(vm);
                onLeaving(vm);
                return;
            default:
                this.dispatchToOwnership(vm, message);
        }
    }

    /** Dispatches the messages about shards and engines. */
    private dispatchToOwnership(vm: string, message: OwnershipMessage): void {
        const ownership = this.options.readOwnership();
        switch (message.type) {
            case "admit":
            case "begun":
            case "ended":
            case "runs":
                ownership?.engines.receiveAdmissionMessage(vm, message);
                return;
            case "prepare":
            case "missing":
                ownership?.engines.receiveLoadMessage(message);
                return;
            case "release":
                ownership?.recordRelease(vm, message);
                return;
            case "handover":
                ownership?.receiveHandover(message);
                return;
            case "claimQuery":
                this.sendLeaseState(vm, message);
                return;
            case "claimState":
                ownership?.receiveLeaseState(vm, message);
                return;
        }
    }

    private sendLeaseState(vm: string, message: Extract<PeerMessage, { type: "claimQuery"; }>): void {
        const { peers, readOwnership } = this.options;
        const ownership = readOwnership();
        if (ownership !== undefined) {
            peers.send(vm, { type: "claimState", ...ownership.readLeaseState(vm, message) });
        }
    }

    private receivePositions(vm: string, message: Extract<PeerMessage, { type: "positions"; }>): void {
        const { peers, sharing } = this.options;
        sharing.receivePositions(vm, peers.findDataCentre(vm) ?? "", message.positions, message.canRead);
    }

    /** Sends the known VMs to a follower: it cannot read the list of VMs from the store. */
    private sendMembers(vm: string, isWanted: boolean): void {
        const { peers } = this.options;
        if (isWanted) {
            peers.send(vm, { type: "members", members: peers.listMembers() });
        }
    }
}
