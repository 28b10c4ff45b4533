import { PermitReferee } from "@radishreel/fleet";
import { setTimeout as wait } from "node:timers/promises";
import type { PeerMessage } from "../links/messages.js";

/** A referee that has not answered for this long is taken to be gone, in milliseconds: answers take some 3 ms. */
const answerTimeoutMs = 100;

/** Pause before a request that may not run yet asks again, in milliseconds. */
const askAgainMs = 50;

/** Messages about permits. */
export type PermitMessage = Extract<PeerMessage, { type: "claimPermit" | "permitAnswer" | "releasePermit"; }>;

/** A run of a suspected request that the referee knows of. */
export interface Permit {
    end(): void;
}

/** Options of {@link Permits}. */
export interface PermitsOptions {
    readonly readTime: () => number;
    /** The VM that all VMs ask about this request, as far as each knows; undefined if there is none. */
    readonly findReferee: (request: string) => string | undefined;
    /** Sends to a VM, this one included. @returns Whether it could be sent. */
    readonly send: (vm: string, message: PermitMessage) => boolean;
}

/** Asks for leave to run suspected requests, and gives it to other VMs. */
export class Permits {
    private readonly referee = new PermitReferee();
    private readonly waiting = new Map<number, (mayRun: boolean) => void>();
    private tickets = 0;

    constructor(private readonly options: PermitsOptions) {}

    /**
     * Waits until a suspected request may run. Without a referee that answers it may: what it ends is counted in any case.
     * @param mayWait Asked before each pause.
     * @returns Undefined if it may not, and may not wait any longer.
     */
    async claim(request: string, mayWait: () => boolean): Promise<Permit | undefined> {
        this.tickets += 1;
        const ticket = this.tickets;
        for (;;) {
            const referee = this.options.findReferee(request);
            if (referee === undefined || await this.askReferee(referee, request, ticket)) {
                return { end: () => this.sendEnd(referee, request, ticket) };
            }
            if (!mayWait()) {
                return undefined;
            }
            await wait(askAgainMs);
        }
    }

    receiveMessage(vm: string, message: PermitMessage): void {
        const { request, ticket } = message;
        switch (message.type) {
            case "claimPermit": {
                const mayRun = this.referee.claim(request, vm, ticket, this.options.readTime());
                this.options.send(vm, { type: "permitAnswer", request, ticket, mayRun });
                return;
            }
            case "permitAnswer":
                this.waiting.get(ticket)?.(message.mayRun);
                return;
            case "releasePermit":
                this.referee.release(request, vm, ticket);
                return;
        }
    }

    removeVm(vm: string): void {
        this.referee.removeVm(vm);
    }

    expireOld(): void {
        this.referee.expireOld(this.options.readTime());
    }

    private async askReferee(referee: string, request: string, ticket: number): Promise<boolean> {
        return new Promise(resolve => {
            const finish = (mayRun: boolean): void => {
                clearTimeout(timer);
                this.waiting.delete(ticket);
                resolve(mayRun);
            };
            const timer = setTimeout(() => finish(true), answerTimeoutMs);
            this.waiting.set(ticket, finish);
            if (!this.options.send(referee, { type: "claimPermit", request, ticket })) {
                finish(true);
            }
        });
    }

    private sendEnd(referee: string | undefined, request: string, ticket: number): void {
        if (referee !== undefined) {
            this.options.send(referee, { type: "releasePermit", request, ticket });
        }
    }
}
