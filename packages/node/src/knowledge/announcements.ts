import type { FleetView, LimitChange } from "@radishreel/fleet";
import type { DecisionLog } from "../decisions.js";
import type { PeerMessage } from "../links/messages.js";
import type { ResponseMetadata } from "../requests/metadata.js";

/** Origin of an announcement that a response to this VM made, in log lines; otherwise the name of the VM. */
const responseOrigin = "answer";

/** Options of {@link AnnouncementSharing}. */
export interface AnnouncementSharingOptions {
    readonly view: FleetView;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    readonly broadcast: (message: PeerMessage) => void;
    /** Whether this VM forwards what it learns from other VMs: others may have no link to the VM that announced it. */
    readonly isForwarding: () => boolean;
    /** Called when something changed that requests may wait for. */
    readonly onChange: () => void;
    /** Called when a response requests a backoff from this VM. */
    readonly onBackoff: () => void;
    /** Called when a response names a limit that cannot be read. */
    readonly onUnreadableLimit: () => void;
}

/**
 * Records what upstreams announce about themselves in their responses, and shares it with other VMs: that they are
 * leaving, and how many requests they accept from all VMs together. A backoff concerns this VM only. A VM that learns
 * an announcement from a response broadcasts it once.
 */
export class AnnouncementSharing {
    constructor(private readonly options: AnnouncementSharingOptions) {}

    /**
     * Records what a response to this VM says about its upstream.
     * @param statementsAtWrite Number of statements about the upstream's limit when the request was written; undefined
     * if the response does not answer a caller's request, and cannot end a limit.
     */
    recordResponse(upstream: string, metadata: Partial<ResponseMetadata>, statementsAtWrite?: number): void {
        const { view, readTime, onBackoff } = this.options;
        if (metadata.askedRestMs !== undefined) {
            view.backoffs.record(upstream, metadata.askedRestMs, readTime());
            onBackoff();
        }
        if (metadata.isLeaving === true && this.applyLeaving([upstream], responseOrigin)) {
            this.options.broadcast({ type: "upstreamsLeaving", upstreams: [upstream] });
        }
        if (metadata.limit !== undefined) {
            this.recordLimit(upstream, metadata.limit, statementsAtWrite ?? -1);
        }
    }

    /** Records leaving upstreams that another VM announced. */
    receiveLeaving(vm: string, upstreams: readonly string[]): void {
        this.applyLeaving(upstreams, vm);
    }

    /** Records changes of limits that another VM announced. */
    receiveLimits(vm: string, changes: readonly LimitChange[]): void {
        const { view, readTime, isForwarding, broadcast, onChange } = this.options;
        const newChanges = changes.filter(change => {
            const before = view.limits.find(change.upstream)?.perSecond;
            const isNew = view.limits.apply(change, readTime());
            if (isNew && change.perSecond !== before) {
                this.recordLimitChange(change, vm);
            }
            return isNew;
        });
        if (newChanges.length === 0) {
            return;
        }
        if (isForwarding()) {
            broadcast({ type: "upstreamLimits", limits: newChanges });
        }
        onChange();
    }

    /** Creates the messages for a VM whose link has just opened; usually none. */
    createInitialMessages(): PeerMessage[] {
        const upstreams = this.options.view.listAnnouncedLeaving();
        const limits = this.options.view.limits.list();
        return [
            ...(upstreams.length === 0 ? [] : [{ type: "upstreamsLeaving", upstreams } as const]),
            ...(limits.length === 0 ? [] : [{ type: "upstreamLimits", limits } as const]),
        ];
    }

    private recordLimit(
        upstream: string,
        limit: NonNullable<ResponseMetadata["limit"]>,
        statementsAtWrite: number,
    ): void {
        const { view, readTime, broadcast, onChange, onUnreadableLimit } = this.options;
        if (limit.kind === "unreadable") {
            onUnreadableLimit();
            return;
        }
        const perSecond = limit.kind === "limited" ? limit.perSecond : undefined;
        const change = view.limits.recordResponse(upstream, perSecond, statementsAtWrite, readTime());
        if (change !== undefined) {
            this.recordLimitChange(change, responseOrigin);
            broadcast({ type: "upstreamLimits", limits: [change] });
            onChange();
        }
    }

    private recordLimitChange({ upstream, perSecond, revision }: LimitChange, from: string): void {
        const { view, log } = this.options;
        const { service, bornAt } = view.findUpstream(upstream)?.upstream ?? {};
        const limit = perSecond ?? "none";
        log.recordImportant("upstreamLimited", { upstream, service, bornAt, limit, revision, from });
    }

    /** @returns Whether any of the upstreams was not yet known to be leaving. */
    private applyLeaving(upstreams: readonly string[], from: string): boolean {
        const { view, log, readTime, onChange } = this.options;
        const newlyLeaving = upstreams.filter(id => view.recordLeaving(id, readTime()));
        for (const upstream of newlyLeaving) {
            const service = view.findUpstream(upstream)?.upstream.service;
            log.recordImportant("upstreamLeaving", { upstream, service, from });
        }
        if (newlyLeaving.length > 0) {
            onChange();
        }
        return newlyLeaving.length > 0;
    }
}
