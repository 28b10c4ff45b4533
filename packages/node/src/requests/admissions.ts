import type { AdmissionAnswer, AdmissionRequest, UpstreamLoad } from "@radishreel/fleet";

/**
 * An owner that has not answered for this long is taken to be frozen or out of reach, in milliseconds. Answers take some
 * 3 ms, 30 ms where a VM is busy; a link that has gone silent is only found after seconds.
 */
const answerTimeoutMs = 180;

/** How long an owner that did not answer is not asked, in milliseconds: its link is found dead in 1.5 s if it is. */
const silencePauseMs = 1000;

/** What became of a request that asked an engine's owner. */
export type AdmissionOutcome =
    /** It may be sent. */
    | { readonly kind: "admitted"; readonly version: number | undefined; }
    /** The owner will not let it in while its caller waits; after this time it could be, in milliseconds. */
    | { readonly kind: "declined"; readonly expectedMs: number; }
    /** The engine has clearly more to do than was expected, and the request was not let in. */
    | {
        readonly kind: "busier";
        readonly load: UpstreamLoad;
        /** Version of its adapter that is loaded there. */
        readonly version: number | undefined;
        /** Whether its adapter is on its way for others. */
        readonly isComing: boolean;
    }
    /** The owner is gone, is another one, or does not answer. */
    | { readonly kind: "lost"; };

/** Messages about admissions, from the VM of a request to the owner of an engine. */
export type AdmissionMessage =
    | { readonly type: "admit"; readonly engine: string; readonly request: AdmissionRequest; }
    | { readonly type: "begun"; readonly engine: string; readonly ticket: number; }
    | { readonly type: "ended"; readonly engine: string; readonly ticket: number; }
    | { readonly type: "runs"; readonly engine: string; readonly requests: AdmissionRequest[]; };

/** A request of this VM at the owner of an engine. */
export interface Admission {
    readonly engine: string;
    readonly outcome: Promise<AdmissionOutcome>;
    /** When it is expected to be let in. */
    readonly expectedAt: number;
    /** Tells the owner that the prompt is read. */
    begin(): void;
    /** Tells the owner that the request has ended, or waits no longer. */
    end(): void;
}

/** What a request tells an owner of itself. */
export type AdmissionDetails = Omit<AdmissionRequest, "ticket">;

/** Options of {@link Admissions}. */
export interface AdmissionsOptions {
    readonly readTime: () => number;
    /** Sends to a VM, this one included. @returns Whether it could be sent. */
    readonly send: (vm: string, message: AdmissionMessage) => boolean;
}

interface OpenTicket {
    readonly engine: string;
    readonly request: AdmissionRequest;
    readonly askedAt: number;
    /** The VM that was asked; undefined if there was none to ask. */
    owner: string | undefined;
    isAdmitted: boolean;
    expectedAt: number;
    finish: (outcome: AdmissionOutcome) => void;
    timer: NodeJS.Timeout | undefined;
}

interface OpenedTicket {
    readonly id: number;
    readonly ticket: OpenTicket;
    readonly admission: Admission;
}

/**
 * The requests of this VM at engines, as their owners are told of them: which wait, which run, and which owner knows. Each
 * new owner of an engine is told all that runs there.
 */
export class Admissions {
    private readonly tickets = new Map<number, OpenTicket>();
    /** Until when each owner that did not answer is not asked, unless it is heard of before. */
    private readonly silentUntil = new Map<string, number>();
    private lastTicket = 0;

    constructor(private readonly options: AdmissionsOptions) {}

    /** Whether a VM answers, as far as is known. */
    isResponsive(owner: string): boolean {
        return this.options.readTime() >= (this.silentUntil.get(owner) ?? -Infinity);
    }

    /** Takes any sign of life of a VM. */
    recordHeard(vm: string): void {
        this.silentUntil.delete(vm);
    }

    /** Asks the owner of an engine to let a request in. */
    ask(owner: string, engine: string, details: AdmissionDetails): Admission {
        const { id, ticket, admission } = this.open(engine, details, owner);
        ticket.timer = setTimeout(() => this.recordSilence(id), answerTimeoutMs);
        if (!this.options.send(owner, { type: "admit", engine, request: ticket.request })) {
            this.close(id, { kind: "lost" });
        }
        return admission;
    }

    /** Counts a request that runs without an owner's word, since there is none to ask. */
    addRun(engine: string, details: AdmissionDetails): Admission {
        const { ticket, admission } = this.open(engine, details, undefined);
        ticket.isAdmitted = true;
        ticket.finish({ kind: "admitted", version: details.version });
        return admission;
    }

    /** Takes an owner's answer. */
    receiveAnswer(vm: string, answer: AdmissionAnswer): void {
        const found = this.tickets.get(answer.ticket);
        if (found === undefined || found.owner !== vm) {
            return;
        }
        clearTimeout(found.timer);
        switch (answer.kind) {
            case "queued":
                found.expectedAt = this.options.readTime() + answer.expectedMs;
                return;
            case "admitted":
                found.isAdmitted = true;
                found.finish({ kind: "admitted", version: answer.version });
                return;
            case "notOwned":
                this.close(answer.ticket, { kind: "lost" });
                return;
            case "busier":
                this.close(answer.ticket, {
                    kind: "busier",
                    load: answer.load,
                    version: answer.version,
                    isComing: answer.isComing,
                });
                return;
            case "declined":
                this.close(answer.ticket, { kind: "declined", expectedMs: answer.expectedMs });
                return;
        }
    }

    /** Tells a new owner of an engine all that runs there; what waits at the one before is lost. */
    updateOwner(engine: string, owner: string): void {
        for (const [id, ticket] of [...this.tickets]) {
            if (ticket.engine === engine && !ticket.isAdmitted && ticket.owner !== owner) {
                this.close(id, { kind: "lost" });
            }
        }
        this.options.send(owner, this.createRuns(engine, owner));
    }

    /** All requests of this VM that run on an engine, for its owner, which is told of their ends from now on. */
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

    /** Loses what waits at a VM that is gone. */
    removeOwner(vm: string): void {
        for (const [id, ticket] of [...this.tickets]) {
            if (ticket.owner === vm && !ticket.isAdmitted) {
                this.close(id, { kind: "lost" });
            }
        }
    }

    /** Loses what waits for an engine that is gone. */
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
        let finish: (outcome: AdmissionOutcome) => void = () => {};
        const outcome = new Promise<AdmissionOutcome>(resolve => {
            finish = resolve;
        });
        const ticket: OpenTicket = {
            engine,
            request: { ...details, ticket: id },
            askedAt,
            owner,
            isAdmitted: false,
            expectedAt: askedAt,
            finish,
            timer: undefined,
        };
        this.tickets.set(id, ticket);
        const admission: Admission = {
            engine,
            outcome,
            get expectedAt() {
                return ticket.expectedAt;
            },
            begin: () => this.sendBegun(id),
            end: () => this.sendEnded(id),
        };
        return { id, ticket, admission };
    }

    private sendBegun(id: number): void {
        const ticket = this.tickets.get(id);
        if (ticket?.owner !== undefined) {
            this.options.send(ticket.owner, { type: "begun", engine: ticket.engine, ticket: id });
        }
    }

    private sendEnded(id: number): void {
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

    /** Ends a request that was not let in. */
    private close(id: number, outcome: AdmissionOutcome): void {
        const ticket = this.tickets.get(id);
        if (ticket !== undefined) {
            this.tickets.delete(id);
            clearTimeout(ticket.timer);
            ticket.finish(outcome);
        }
    }

    /** An owner has not answered: it is not asked again before it is heard of. */
    private recordSilence(id: number): void {
        const ticket = this.tickets.get(id);
        if (ticket?.owner === undefined) {
            return;
        }
        this.silentUntil.set(ticket.owner, this.options.readTime() + silencePauseMs);
        // Should it wake up, it must not keep a place for this one.
        this.options.send(ticket.owner, { type: "ended", engine: ticket.engine, ticket: id });
        this.close(id, { kind: "lost" });
    }
}
