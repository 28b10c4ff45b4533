import type { AdmissionReply, AdmissionRequest, UpstreamLoad } from "@radishreel/fleet";

/**
 * Time without a reply after which an owner counts as frozen or unreachable, in milliseconds. Replies take about 3 ms,
 * or 30 ms from a busy VM, while a silent link is detected only after seconds.
 */
const replyTimeoutMs = 180;

/** How long an owner that did not reply is not asked again, in milliseconds. A dead link is detected within 1.5 s. */
const unresponsivePauseMs = 1000;

/** The owner cannot admit the request within the caller's time limit, but expects to after `expectedMs`. */
export interface DeclinedOutcome {
    readonly kind: "declined";
    readonly expectedMs: number;
    /** Time after which the caller may return, in milliseconds; undefined if the owner reserves no returns. */
    readonly returnMs?: number | undefined;
    /** Whether the caller was told this time before. */
    readonly isRepeated?: boolean | undefined;
    /** Tells the owner that the caller will not return there. */
    readonly cancelReturn?: (() => void) | undefined;
}

/** Outcome of a request for admission at an engine. */
export type AdmissionOutcome =
    /** The request may be sent to the engine. */
    | { readonly kind: "admitted"; readonly version: number | undefined; }
    | DeclinedOutcome
    /** The engine is clearly busier than expected, and the request was not admitted. */
    | {
        readonly kind: "busier";
        readonly load: UpstreamLoad;
        /** Version of the request's adapter that the engine holds. */
        readonly version: number | undefined;
        /** Whether the request's adapter is being loaded for other requests. */
        readonly isComing: boolean;
    }
    /** The owner is gone, was replaced, or does not reply. */
    | { readonly kind: "lost"; };

/** Messages about admissions, from the VM that serves a request to the owner of an engine. */
export type AdmissionMessage =
    | { readonly type: "admit"; readonly engine: string; readonly request: AdmissionRequest; }
    | { readonly type: "begun"; readonly engine: string; readonly ticket: number; }
    | { readonly type: "ended"; readonly engine: string; readonly ticket: number; }
    | { readonly type: "runs"; readonly engine: string; readonly requests: AdmissionRequest[]; };

/** A request of this VM that the owner of an engine admits or counts. */
export interface Admission {
    readonly engine: string;
    readonly outcome: Promise<AdmissionOutcome>;
    /** When the owner expects to admit the request. */
    readonly expectedAt: number;
    /** Notifies the owner that the engine has read the prompt. */
    start(): void;
    /** Notifies the owner that the request has finished or no longer waits. */
    finish(): void;
}

/** Details of a request that are sent to the owner. */
export type AdmissionDetails = Omit<AdmissionRequest, "ticket">;

/** Options of {@link Admissions}. */
export interface AdmissionsOptions {
    readonly readTime: () => number;
    /** Sends a message to a VM, which may be this one. @returns Whether the message could be sent. */
    readonly send: (vm: string, message: AdmissionMessage) => boolean;
    /** Whether owners recognize requests that return after a refusal. @default false */
    readonly hasReturns?: boolean | undefined;
}

interface OpenTicket {
    readonly engine: string;
    readonly request: AdmissionRequest;
    readonly askedAt: number;
    /** The VM that was asked; undefined if the engine had no reachable owner. */
    owner: string | undefined;
    isAdmitted: boolean;
    expectedAt: number;
    resolveOutcome: (outcome: AdmissionOutcome) => void;
    timer: NodeJS.Timeout | undefined;
}

interface OpenedTicket {
    readonly id: number;
    readonly ticket: OpenTicket;
    readonly admission: Admission;
}

/**
 * Tracks which requests of this VM wait for admission at engines, which run there, and which owner knows of each. Each
 * new owner of an engine receives all requests that run there.
 */
export class Admissions {
    private readonly tickets = new Map<number, OpenTicket>();
    /** Until when each owner that did not reply is not asked, unless it sends a message before. */
    private readonly unresponsiveUntil = new Map<string, number>();
    private lastTicket = 0;

    constructor(private readonly options: AdmissionsOptions) {}

    /** Whether owners recognize requests that return after a refusal. */
    get hasReturns(): boolean {
        return this.options.hasReturns === true;
    }

    /** Whether a VM is believed to reply. */
    isResponsive(owner: string): boolean {
        return this.options.readTime() >= (this.unresponsiveUntil.get(owner) ?? -Infinity);
    }

    /** Records that any message arrived from a VM. */
    recordContact(vm: string): void {
        this.unresponsiveUntil.delete(vm);
    }

    /** Requests admission from the owner of an engine. */
    ask(owner: string, engine: string, details: AdmissionDetails): Admission {
        const { id, ticket, admission } = this.open(engine, details, owner);
        ticket.timer = setTimeout(() => this.recordTimeout(id), replyTimeoutMs);
        if (!this.options.send(owner, { type: "admit", engine, request: ticket.request })) {
            this.close(id, { kind: "lost" });
        }
        return admission;
    }

    /** Adds a request that runs without admission, since the engine has no reachable owner. */
    addRun(engine: string, details: AdmissionDetails): Admission {
        const { ticket, admission } = this.open(engine, details, undefined);
        ticket.isAdmitted = true;
        ticket.resolveOutcome({ kind: "admitted", version: details.version });
        return admission;
    }

    /** Receives an owner's reply. */
    receiveReply(vm: string, reply: AdmissionReply): void {
        const found = this.tickets.get(reply.ticket);
        if (found === undefined || found.owner !== vm) {
            return;
        }
        clearTimeout(found.timer);
        switch (reply.kind) {
            case "queued":
                found.expectedAt = this.options.readTime() + reply.expectedMs;
                return;
            case "admitted":
                found.isAdmitted = true;
                found.resolveOutcome({ kind: "admitted", version: reply.version });
                return;
            case "notOwned":
                this.close(reply.ticket, { kind: "lost" });
                return;
            case "busier":
                this.close(reply.ticket, {
                    kind: "busier",
                    load: reply.load,
                    version: reply.version,
                    isComing: reply.isComing,
                });
                return;
            case "declined":
                this.close(reply.ticket, {
                    ...reply,
                    cancelReturn: () =>
                        this.options.send(vm, { type: "ended", engine: found.engine, ticket: reply.ticket }),
                });
                return;
        }
    }

    /** Sends a new owner all requests that run on its engine. Requests that wait at the previous owner end as lost. */
    updateOwner(engine: string, owner: string): void {
        for (const [id, ticket] of [...this.tickets]) {
            if (ticket.engine === engine && !ticket.isAdmitted && ticket.owner !== owner) {
                this.close(id, { kind: "lost" });
            }
        }
        this.options.send(owner, this.createRuns(engine, owner));
    }

    /** Lists the requests of this VM that run on an engine, and records the owner that is notified when they finish. */
    createRuns(engine: string, owner: string): Extract<AdmissionMessage, { type: "runs"; }> {
        const requests: AdmissionRequest[] = [];
        for (const ticket of this.tickets.values()) {
            if (ticket.engine === engine && ticket.isAdmitted) {
                ticket.owner = owner;
                const endMs = ticket.askedAt + ticket.request.endMs - this.options.readTime();
                requests.push({ ...ticket.request, endMs: Math.max(0, endMs) });
            }
        }
        return { type: "runs", engine, requests };
    }

    /** Ends the requests that wait at a VM that is gone as lost. */
    removeOwner(vm: string): void {
        for (const [id, ticket] of [...this.tickets]) {
            if (ticket.owner === vm && !ticket.isAdmitted) {
                this.close(id, { kind: "lost" });
            }
        }
    }

    /** Ends the requests that wait for an engine that is gone as lost. */
    removeEngine(engine: string): void {
        for (const [id, ticket] of [...this.tickets]) {
            if (ticket.engine === engine && !ticket.isAdmitted) {
                this.close(id, { kind: "lost" });
            }
        }
    }

    private open(engine: string, details: AdmissionDetails, owner: string | undefined): OpenedTicket {
        this.lastTicket += 1;
        const id = this.lastTicket;
        const askedAt = this.options.readTime();
        let resolveOutcome: (outcome: AdmissionOutcome) => void = () => {};
        const outcome = new Promise<AdmissionOutcome>(resolve => {
            resolveOutcome = resolve;
        });
        const ticket: OpenTicket = {
            engine,
            request: { ...details, ticket: id },
            askedAt,
            owner,
            isAdmitted: false,
            expectedAt: askedAt,
            resolveOutcome,
            timer: undefined,
        };
        this.tickets.set(id, ticket);
        const admission: Admission = {
            engine,
            outcome,
            get expectedAt() {
                return ticket.expectedAt;
            },
            start: () => this.sendStarted(id),
            finish: () => this.sendFinished(id),
        };
        return { id, ticket, admission };
    }

    private sendStarted(id: number): void {
        const ticket = this.tickets.get(id);
        if (ticket?.owner !== undefined) {
            this.options.send(ticket.owner, { type: "begun", engine: ticket.engine, ticket: id });
        }
    }

    private sendFinished(id: number): void {
        const ticket = this.tickets.get(id);
        if (ticket === undefined) {
            return;
        }
        this.tickets.delete(id);
        clearTimeout(ticket.timer);
        if (ticket.owner !== undefined) {
            this.options.send(ticket.owner, { type: "ended", engine: ticket.engine, ticket: id });
        }
    }

    /** Ends a request that was not admitted. */
    private close(id: number, outcome: AdmissionOutcome): void {
        const ticket = this.tickets.get(id);
        if (ticket !== undefined) {
            this.tickets.delete(id);
            clearTimeout(ticket.timer);
            ticket.resolveOutcome(outcome);
        }
    }

    /** Handles an owner that did not reply: it is not asked for a while, unless it sends a message before. */
    private recordTimeout(id: number): void {
        const ticket = this.tickets.get(id);
        if (ticket?.owner === undefined) {
            return;
        }
        this.unresponsiveUntil.set(ticket.owner, this.options.readTime() + unresponsivePauseMs);
        // If the owner resumes, it must not reserve room for this request.
        this.options.send(ticket.owner, { type: "ended", engine: ticket.engine, ticket: id });
        this.close(id, { kind: "lost" });
    }
}
