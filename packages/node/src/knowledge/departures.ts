import type { FleetView } from "@radishreel/fleet";
import type { DecisionLog } from "../decisions.js";
import type { PeerMessage } from "../links/messages.js";

/** Options of {@link DepartureSharing}. */
export interface DepartureSharingOptions {
    readonly view: FleetView;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    readonly broadcast: (message: PeerMessage) => void;
    /** Something that requests may wait for has changed. */
    readonly onChange: () => void;
}

/**
 * What answers say of upstreams that leave: while the store is away a VM learns it from nothing else. A VM that learns it
 * from an answer tells the others once, and one that was told tells nobody.
 */
export class DepartureSharing {
    constructor(private readonly options: DepartureSharingOptions) {}

    /** An answer to this VM says that an upstream leaves. */
    recordAnswer(upstream: string): void {
        if (this.apply([upstream], "answer")) {
            this.options.broadcast({ type: "upstreamsLeaving", upstreams: [upstream] });
        }
    }

    /** Another VM has had such answers. */
    receive(vm: string, upstreams: readonly string[]): void {
        this.apply(upstreams, vm);
    }

    /** What a VM is told whose link has just opened; mostly nothing. */
    createGreeting(): PeerMessage[] {
        const upstreams = this.options.view.listDeparting();
        return upstreams.length === 0 ? [] : [{ type: "upstreamsLeaving", upstreams }];
    }

    /** @returns Whether that was news. */
    private apply(upstreams: readonly string[], from: string): boolean {
        const { view, log, readTime, onChange } = this.options;
        const fresh = upstreams.filter(id => view.recordLeaving(id, readTime()));
        for (const upstream of fresh) {
            const service = view.findUpstream(upstream)?.upstream.service;
            log.recordImportant("upstreamLeaving", { upstream, service, from });
        }
        if (fresh.length > 0) {
            onChange();
        }
        return fresh.length > 0;
    }
}
