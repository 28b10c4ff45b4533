import { usualModelLoadMs } from "./basemodels.js";
import { prefillTokensPerMs, readQueueMs } from "./choose.js";
import { LoadCounter, type LoadHandle } from "./load.js";
import { type EnginePlaces } from "./places.js";
import type { AdmissionAnswer, AdmissionRequest, UpstreamLoad } from "./types.js";

/**
 * Part of the expected wait that a request must outlast to be let wait at all. Expected ends of runs are off by half either
 * way, so that a wait often turns out shorter.
 */
const hopefulShare = 0.6;

/** Bounds of how much longer runs take than callers estimate, as a factor. */
const minRunPace = 0.2;
const maxRunPace = 5;

/** Weight of one run against what is known of how long runs take. */
const runPaceWeight = 0.05;

/** A run that has outlasted its estimate is expected to end after this further part of it. */
const overdueShare = 0.25;

/** Shortest time that a run is expected to go on, in milliseconds. */
const minRestMs = 20;

/** How long a request whose VM is gone is taken to run beyond its own end, in milliseconds: clocks and queues differ. */
const endMarginMs = 500;

/** Time in which an answer has reached its VM, in milliseconds: one that takes longer finds its link closed. */
const answerTravelMs = 500;

/** How often the expected wait of a request that waits is worked out anew, in milliseconds: a tenth of most callers' time. */
const reviewMs = 150;

/**
 * How much longer than its VM expects a request may be held up by others on the engine before it is told to choose anew, in
 * milliseconds: a third of what one draft of 9,000 tokens takes, and more than what the question costs.
 */
const busierMs = 80;

/** A request that waits at the engine or runs on it. */
interface Ticket {
    readonly vm: string;
    readonly request: AdmissionRequest;
    readonly askedAt: number;
    reviewedAt: number;
    /** Undefined while it waits. */
    admittedAt: number | undefined;
    load: LoadHandle | undefined;
}

/** An answer for one VM. */
export interface AddressedAnswer {
    readonly vm: string;
    readonly answer: AdmissionAnswer;
}

/** Options of {@link EngineAdmission}. */
export interface EngineAdmissionOptions {
    readonly engine: string;
    readonly places: EnginePlaces;
    /** Whether a held version may answer a request that asks for an adapter now. */
    readonly mayUse: (key: string, held: number, oldest: number | undefined) => boolean;
}

/**
 * The one queue of an engine: each request asks its owner to be let in, so that what is in use, what waits and what can
 * still be met are known in one place. A request whose adapter is loaded is let in at once; any other waits for the load,
 * in the order of the plan for the places, or is declined as soon as it is known that it cannot be met while its caller
 * waits.
 */
export class EngineAdmission {
    private readonly tickets = new Map<string, Ticket>();
    private readonly uses = new Map<string, number>();
    private readonly counter = new LoadCounter();
    private runPace = 1;

    constructor(private readonly options: EngineAdmissionOptions) {}

    /** Requests that were let in and have not ended, as load. */
    get load(): Readonly<UpstreamLoad> {
        return this.counter.read(this.options.engine);
    }

    /** Requests that wait. */
    get waitingCount(): number {
        return [...this.tickets.values()].filter(isWaiting).length;
    }

    /** Requests under way with an adapter. */
    countUses(key: string): number {
        return this.uses.get(key) ?? 0;
    }

    /** Takes a request. */
    ask(vm: string, request: AdmissionRequest, now: number): AdmissionAnswer {
        const { ticket, key, version, runMs, onTimeMs, patienceMs } = request;
        const held = this.findUsableVersion(request);
        const { places } = this.options;
        if (key === undefined && !places.hasModel(request.model)) {
            // Before the engine has reported nothing is known of its model.
            const expectedMs = places.readModelWaitMs(request.model, now) || usualModelLoadMs;
            return { kind: "declined", ticket, expectedMs };
        }
        if (key === undefined || held !== undefined) {
            if (this.isBusier(request, 0)) {
                return { kind: "busier", ticket, load: { ...this.load }, version: held, isComing: false };
            }
            this.start(vm, request, now);
            return { kind: "admitted", ticket, version: held };
        }
        const expectedMs = places.readWaitMs(key, now, this.listReleases(now));
        if (expectedMs * hopefulShare > patienceMs) {
            return { kind: "declined", ticket, expectedMs };
        }
        // Those that wait for the same adapter are let in together, and their prompts are read one after the other.
        const waitingTokens = this.countWaitingTokens(key);
        if (this.isBusier(request, waitingTokens)) {
            const load = { ...this.load, backlogTokens: this.load.backlogTokens + waitingTokens };
            return { kind: "busier", ticket, load, isComing: places.listComing().includes(key) };
        }
        this.tickets.set(formatId(vm, ticket), {
            vm,
            request,
            askedAt: now,
            reviewedAt: now,
            admittedAt: undefined,
            load: undefined,
        });
        places.addWant({ key, version, runMs, onTimeMs, lifeMs: patienceMs }, now);
        return { kind: "queued", ticket, expectedMs };
    }

    /** Lets in what can be let in, and declines what cannot be met any more. */
    advance(now: number): AddressedAnswer[] {
        const answers: AddressedAnswer[] = [];
        for (const [id, ticket] of this.tickets) {
            if (!isWaiting(ticket)) {
                this.expireRun(id, ticket, now);
                continue;
            }
            const answer = this.checkWaiting(ticket, now);
            if (answer !== undefined) {
                answers.push({ vm: ticket.vm, answer });
            }
        }
        return answers;
    }

    /** Takes word that a request's prompt is read. */
    begin(vm: string, ticket: number): void {
        this.tickets.get(formatId(vm, ticket))?.load?.begin();
    }

    /** Takes word that a request has ended, or waits no longer. */
    end(vm: string, ticket: number, now: number): void {
        const found = this.tickets.get(formatId(vm, ticket));
        if (found !== undefined) {
            this.recordRun(found, now);
            this.remove(found);
        }
    }

    /**
     * Takes all requests of a VM that run, in place of what was known of them. What waits goes on waiting, and what has
     * been let in just now may not be known there yet.
     * @returns Whether anything has changed by it.
     */
    setRuns(vm: string, requests: readonly AdmissionRequest[], now: number): boolean {
        let hasChanged = false;
        const told = new Set(requests.map(({ ticket }) => ticket));
        for (const ticket of [...this.tickets.values()]) {
            const isOther = ticket.vm !== vm || isWaiting(ticket);
            if (!isOther && !told.has(ticket.request.ticket) && now - ticket.admittedAt! > answerTravelMs) {
                this.remove(ticket);
                hasChanged = true;
            }
        }
        for (const request of requests) {
            if (!this.tickets.has(formatId(vm, request.ticket))) {
                this.start(vm, request, now);
                hasChanged = true;
            }
        }
        return hasChanged;
    }

    /** Declines all that wait: the engine cannot be reached, or is owned no longer. */
    refuseAll(expectedMs: number): AddressedAnswer[] {
        const waiting = [...this.tickets.values()].filter(isWaiting);
        return waiting.map(ticket => {
            this.remove(ticket);
            return { vm: ticket.vm, answer: { kind: "declined", ticket: ticket.request.ticket, expectedMs } };
        });
    }

    /** How long one more adapter would wait until its load begins, in milliseconds. */
    readNextTurnMs(now: number): number {
        return this.options.places.readNextTurnMs(now, this.listReleases(now));
    }

    private checkWaiting(ticket: Ticket, now: number): AdmissionAnswer | undefined {
        const { request, vm, askedAt } = ticket;
        const held = this.findUsableVersion(request);
        if (held !== undefined) {
            this.remove(ticket);
            this.start(vm, request, now);
            return { kind: "admitted", ticket: request.ticket, version: held };
        }
        const restMs = askedAt + request.patienceMs - now;
        // No load is quicker than one from host memory.
        const isOver = restMs <= this.options.places.readLoadMs(true);
        if (!isOver && now - ticket.reviewedAt < reviewMs) {
            return undefined;
        }
        ticket.reviewedAt = now;
        const expectedMs = this.options.places.readWaitMs(request.key!, now, this.listReleases(now));
        if (!isOver && expectedMs * hopefulShare <= restMs) {
            return undefined;
        }
        this.remove(ticket);
        return { kind: "declined", ticket: request.ticket, expectedMs };
    }

    /** Whether the engine has clearly more to do than the sender of a request expects. */
    private isBusier({ expectedQueueMs }: AdmissionRequest, waitingTokens: number): boolean {
        const queueMs = readQueueMs(this.load) + waitingTokens / prefillTokensPerMs;
        return expectedQueueMs !== undefined && queueMs > expectedQueueMs + busierMs;
    }

    /** Prompt tokens of the requests that wait for an adapter. */
    private countWaitingTokens(key: string): number {
        let tokens = 0;
        for (const ticket of this.tickets.values()) {
            if (isWaiting(ticket) && ticket.request.key === key) {
                tokens += ticket.request.prefillTokens;
            }
        }
        return tokens;
    }

    private findUsableVersion(request: AdmissionRequest): number | undefined {
        const { key, version } = request;
        const held = key === undefined ? undefined : this.options.places.findLoadedVersion(key);
        return held !== undefined && this.options.mayUse(key!, held, version) ? held : undefined;
    }

    private start(vm: string, request: AdmissionRequest, now: number): void {
        const { ticket, key, prefillTokens, kvTokens, hasLongAnswer } = request;
        const load = this.counter.add({
            upstream: this.options.engine,
            backlogTokens: prefillTokens,
            kvTokens,
            hasLongAnswer,
        });
        this.tickets.set(formatId(vm, ticket), { vm, request, askedAt: now, reviewedAt: now, admittedAt: now, load });
        if (key !== undefined) {
            this.uses.set(key, this.countUses(key) + 1);
            this.options.places.recordUse(key, now);
        }
    }

    private remove(ticket: Ticket): void {
        const { vm, request, load } = ticket;
        this.tickets.delete(formatId(vm, request.ticket));
        const { key } = request;
        load?.end();
        if (key === undefined) {
            return;
        }
        if (!isWaiting(ticket)) {
            this.removeUse(key);
        }
        else if (![...this.tickets.values()].some(other => isWaiting(other) && other.request.key === key)) {
            this.options.places.removeWant(key);
        }
    }

    private removeUse(key: string): void {
        const uses = this.countUses(key) - 1;
        if (uses > 0) {
            this.uses.set(key, uses);
        }
        else {
            this.uses.delete(key);
        }
    }

    /** Forgets a run whose VM has not told its end. */
    private expireRun(id: string, ticket: Ticket, now: number): void {
        if (now > ticket.admittedAt! + ticket.request.endMs + endMarginMs) {
            this.remove(ticket);
            this.tickets.delete(id);
        }
    }

    private recordRun(ticket: Ticket, now: number): void {
        if (ticket.admittedAt === undefined || ticket.request.runMs <= 0) {
            return;
        }
        const pace = (now - ticket.admittedAt) / ticket.request.runMs;
        const bounded = Math.min(Math.max(pace, minRunPace), maxRunPace);
        this.runPace += (bounded - this.runPace) * runPaceWeight;
    }

    /** Times until adapters that are in use are expected to be idle, in milliseconds, soonest first. */
    private listReleases(now: number): number[] {
        const releases = new Map<string, number>();
        for (const { request, admittedAt } of this.tickets.values()) {
            if (admittedAt === undefined || request.key === undefined) {
                continue;
            }
            const expectedMs = request.runMs * this.runPace;
            const restMs = Math.max(admittedAt + expectedMs - now, expectedMs * overdueShare, minRestMs);
            releases.set(request.key, Math.max(releases.get(request.key) ?? 0, restMs));
        }
        return [...releases.values()].sort((left, right) => left - right);
    }
}

function isWaiting(ticket: Ticket): boolean {
    return ticket.admittedAt === undefined;
}

function formatId(vm: string, ticket: number): string {
    return `${vm} ${ticket}`;
}
