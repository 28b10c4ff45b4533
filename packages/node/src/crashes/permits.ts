import { PermitIssuer } from "@radishreel/fleet";
import { setTimeout as wait } from "node:timers/promises";
import type { PeerMessage } from "../links/messages.js";

/** Time without a reply after which a permit issuer counts as unreachable, in milliseconds: replies take about 3 ms. */
const replyTimeoutMs = 100;

/** Pause before a rejected permit claim is repeated, in milliseconds. */
const retryIntervalMs = 50;

/** Messages between VMs about permits. */
export type PermitMessage = Extract<PeerMessage, { type: "claimPermit" | "permitAnswer" | "releasePermit"; }>;

/** Permission to run a suspect request, which its issuer has recorded. */
export interface Permit {
    release(): void;
}

/** Options of {@link Permits}. */
export interface PermitsOptions {
    readonly readTime: () => number;
    /** The VM that issues the permits of a request, as far as this VM knows; undefined if there is none. */
    readonly findIssuer: (request: string) => string | undefined;
    /** Sends a message to a VM, this one included. @returns Whether the message could be sent. */
    readonly send: (vm: string, message: PermitMessage) => boolean;
}

/** Claims permits to run suspect requests, and issues permits to other VMs. */
export class Permits {
    private readonly issuer = new PermitIssuer();
    private readonly pendingClaims = new Map<number, (mayRun: boolean) => void>();
    private lastTicket = 0;

    constructor(private readonly options: PermitsOptions) {}

    /**
     * Waits until a suspect request may run. A request whose issuer is missing or does not reply may run: the upstreams
     * that it ends are counted in any case.
     * @param mayWait Called before each pause; whether the request may wait any longer.
     * @returns Undefined if the request may neither run nor wait any longer.
     */
    async claim(request: string, mayWait: () => boolean): Promise<Permit | undefined> {
        this.lastTicket += 1;
        const ticket = this.lastTicket;
        for (;;) {
            const issuer = this.options.findIssuer(request);
            if (issuer === undefined || await this.askIssuer(issuer, request, ticket)) {
                return { release: () => this.sendRelease(issuer, request, ticket) };
            }
            if (!mayWait()) {
                return undefined;
            }
            await wait(retryIntervalMs);
        }
    }

    receiveMessage(vm: string, message: PermitMessage): void {
        const { request, ticket } = message;
        switch (message.type) {
            case "claimPermit": {
                const mayRun = this.issuer.claim(request, vm, ticket, this.options.readTime());
                this.options.send(vm, { type: "permitAnswer", request, ticket, mayRun });
                return;
            }
            case "permitAnswer":
                this.pendingClaims.get(ticket)?.(message.mayRun);
                return;
            case "releasePermit":
                this.issuer.release(request, vm, ticket);
                return;
        }
    }

    removeVm(vm: string): void {
        this.issuer.removeVm(vm);
    }

    expireOld(): void {
        this.issuer.expireOld(this.options.readTime());
    }

    private async askIssuer(issuer: string, request: string, ticket: number): Promise<boolean> {
        return new Promise(resolve => {
            const finish = (mayRun: boolean): void => {
                clearTimeout(timer);
                this.pendingClaims.delete(ticket);
                resolve(mayRun);
            };
            const timer = setTimeout(() => finish(true), replyTimeoutMs);
            this.pendingClaims.set(ticket, finish);
            if (!this.options.send(issuer, { type: "claimPermit", request, ticket })) {
                finish(true);
            }
        });
    }

    private sendRelease(issuer: string | undefined, request: string, ticket: number): void {
        if (issuer !== undefined) {
            this.options.send(issuer, { type: "releasePermit", request, ticket });
        }
    }
}
