import type { AdmissionReply, EngineStatus, FleetView } from "@radishreel/fleet";
import type { Handover } from "../ownership/leasemessages.js";
import type { ShardOwnership } from "../ownership/ownership.js";
import type { AdmissionMessage, Admissions } from "../requests/admissions.js";
import type { PeerMessage } from "./messages.js";
import type { Peers } from "./peers.js";

/** Options of {@link PeerMessenger}. */
export interface PeerMessengerOptions {
    /** This VM. */
    readonly vm: string;
    readonly view: FleetView;
    readonly peers: () => Pick<Peers, "send" | "isMesh" | "listHandoverTargets">;
    readonly admissions: () => Pick<Admissions, "receiveReply">;
    readonly readOwnership: () => ShardOwnership | undefined;
    /** Called with a message that this VM sends to itself. */
    readonly onOwnMessage: (message: PeerMessage) => void;
}

/** Sends messages to VMs, of which the receiver may be this VM itself. */
export class PeerMessenger {
    constructor(private readonly options: PeerMessengerOptions) {}

    /** Sends a message to a VM. @returns Whether the message could be sent. */
    send(vm: string, message: PeerMessage): boolean {
        if (vm === this.options.vm) {
            this.options.onOwnMessage(message);
            return true;
        }
        return this.options.peers().send(vm, message);
    }

    /** Sends a message to the owner of an engine. */
    sendToOwner(engine: string, message: PeerMessage): void {
        const owner = this.options.view.findUpstream(engine)?.owner;
        if (owner !== undefined) {
            this.send(owner, message);
        }
    }

    /** Sends a message about a request of this VM to the owner of an engine. */
    sendAdmission(vm: string, message: AdmissionMessage): boolean {
        if (vm === this.options.vm) {
            this.options.readOwnership()?.engines.receiveAdmissionMessage(vm, message);
            return true;
        }
        return this.options.peers().send(vm, message);
    }

    /** Replies to a VM whose request asked for admission on an engine of this VM. */
    sendReply(vm: string, reply: AdmissionReply): void {
        if (vm === this.options.vm) {
            this.options.admissions().receiveReply(vm, reply);
            return;
        }
        this.options.peers().send(vm, { type: "admission", answer: reply });
    }

    /** Sends statuses of engines to the other VMs that own engines. */
    sendToOwners(statuses: EngineStatus[]): void {
        const owners = new Set(this.options.view.listUpstreams().map(({ owner }) => owner));
        for (const owner of owners) {
            if (owner !== undefined && owner !== this.options.vm) {
                this.options.peers().send(owner, { type: "news", news: statuses });
            }
        }
    }

    /**
     * Hands shards over to one other VM. Where only some VMs own engines, the others do not know the generation of the
     * assignment and could not use the shards.
     * @returns Whether a VM was available.
     */
    sendHandover(handover: Handover): boolean {
        const peers = this.options.peers();
        const targets = peers.listHandoverTargets();
        const owners = new Set(this.options.view.listUpstreams().map(({ owner }) => owner));
        const target = peers.isMesh ? targets[0] : targets.find(vm => owners.has(vm)) ?? targets[0];
        return target !== undefined
            && peers.send(target, { type: "handover", ...handover, givers: [...handover.givers] });
    }
}
