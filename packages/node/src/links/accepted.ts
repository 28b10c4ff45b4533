import type { Link } from "@radishreel/wire";
import type { PeerMessage } from "./messages.js";

/** Open links that other VMs have opened, the newest link of each VM. */
export class AcceptedLinks {
    private readonly links = new Map<string, Link<PeerMessage>>();
    /** When a link opened by a VM of another data centre was last lost, in milliseconds. */
    private lostAt: number | undefined;

    constructor(private readonly dataCentre: string) {}

    add(link: Link<PeerMessage>): void {
        this.links.set(link.peer.id, link);
    }

    /** Removes a closed link. @returns Whether it was the newest link of its VM. */
    remove(link: Link<PeerMessage>, now: number): boolean {
        // A link may close before the other side has sent its identity.
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

    /**
     * Times since the last frame from VMs of other data centres or since the loss of their last link, in milliseconds.
     */
    listReceiveIdleMs(now: number): number[] {
        const open = [...this.links.values()]
            .filter(({ peer }) => peer.dataCentre !== this.dataCentre)
            .map(({ receiveIdleMs }) => receiveIdleMs);
        return this.lostAt === undefined ? open : [...open, now - this.lostAt];
    }
}
