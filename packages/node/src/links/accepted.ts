import type { Link } from "@radishreel/wire";
import type { PeerMessage } from "./messages.js";

/** Open links that other VMs have opened, the newest one of each. */
export class AcceptedLinks {
    private readonly links = new Map<string, Link<PeerMessage>>();
    /** When the last link was lost that a VM of another data centre had opened, in milliseconds. */
    private lostAt: number | undefined;

    constructor(private readonly dataCentre: string) {}

    add(link: Link<PeerMessage>): void {
        this.links.set(link.peer.id, link);
    }

    /** Takes word that a link is closed. @returns Whether it was the newest of its VM. */
    remove(link: Link<PeerMessage>, now: number): boolean {
        // One may close before the other side has said who it is.
        if (!link.hasPeer || this.links.get(link.peer.id) !== link) {
            return false;
        }
        this.links.delete(link.peer.id);
        if (link.peer.dataCentre !== this.dataCentre) {
            this.lostAt = now;
        }
        return true;
    }

    find(vm: string): Link<PeerMessage> | undefined {
        return this.links.get(vm);
    }

    listVms(): string[] {
        return [...this.links.keys()];
    }

    /** Times since VMs of other data centres were heard or their last link was lost, in milliseconds. */
    listQuietMs(now: number): number[] {
        const open = [...this.links.values()]
            .filter(({ peer }) => peer.dataCentre !== this.dataCentre)
            .map(({ quietMs }) => quietMs);
        return this.lostAt === undefined ? open : [...open, now - this.lostAt];
    }
}
