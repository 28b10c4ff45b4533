import type { FleetView } from "@radishreel/fleet";
import type { DecisionLog } from "../decisions.js";
import type { PeerMessage } from "../links/messages.js";

/** Options of {@link LeavingUpstreamSharing}. */
export interface LeavingUpstreamSharingOptions {
    readonly view: FleetView;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    readonly broadcast: (message: PeerMessage) => void;
    /** Called when something changed that requests may wait for. */
    readonly onChange: () => void;
}

/**
 * Shares which upstreams announced in a response that they are leaving. During an outage of the store, responses are
 * the only source of this. A VM that learns it from a response broadcasts it once; a VM that learns it from a peer does
 * not forward it.
 */
export class LeavingUpstreamSharing {
    constructor(private readonly options: LeavingUpstreamSharingOptions) {}

    /** Records that an upstream announced in a response to this VM that it is leaving. */
    recordResponse(upstream: string): void {
        if (this.apply([upstream], "answer")) {
            this.options.broadcast({ type: "upstreamsLeaving", upstreams: [upstream] });
        }
    }

    /** Records leaving upstreams that another VM announced. */
    receive(vm: string, upstreams: readonly string[]): void {
        this.apply(upstreams, vm);
    }

    /** Creates the messages for a VM whose link has just opened; usually none. */
    createInitialMessages(): PeerMessage[] {
        const upstreams = this.options.view.listAnnouncedLeaving();
        return upstreams.length === 0 ? [] : [{ type: "upstreamsLeaving", upstreams }];
    }

    /** @returns Whether any of the upstreams was not yet known to be leaving. */
    private apply(upstreams: readonly string[], from: string): boolean {
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
