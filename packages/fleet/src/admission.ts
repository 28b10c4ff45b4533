import type { AddressedReply, EngineAdmissionOptions } from "./admissionoptions.js";
import { defaultModelLoadMs } from "./basemodels.js";
import { prefillTokensPerMs, readQueueMs } from "./enginecosts.js";
import { LoadCounter } from "./load.js";
import {
    type Claim,
    countDemand,
    createClaim,
    formatId,
    ImmediateScheduler,
    immediateWaitShare,
    isWaiting,
    type RequestScheduler,
    RunTimes,
    type Ticket,
    Tickets,
    UrgencyScheduler,
} from "./scheduling/index.js";
import { readRequestCost } from "./shares/index.js";
import type { AdmissionReply, AdmissionRequest, EngineStatus, PriorityWait, UpstreamLoad } from "./types.js";

/**
 * How long after its latest possible end a request whose VM is gone still counts as running, in milliseconds: clocks
 * and queues differ.
 */
const runEndMarginMs = 500;

/** Longest time that a reply takes to its VM, in milliseconds: the link closes before a slower reply arrives. */
const maxReplyTransitMs = 500;

/**
 * Interval at which the expected wait of a queued request is recomputed, in milliseconds: a tenth of most callers' time
 * limit.
 */
const reviewIntervalMs = 150;

/**
 * How much longer than its VM expects a request may queue behind others on the engine before the VM must choose again,
 * in milliseconds: a third of the prefill time of a prompt of 9,000 tokens, and more than another admission round trip
 * costs.
 */
const queueToleranceMs = 80;

/**
 * Admits requests to one engine. Every VM requests admission from the engine's owner, so that the owner alone knows
 * which adapters are in use, which requests wait and which deadlines can still be met. A request whose adapter is
 * loaded is admitted once the scheduler finds room. Any other request waits for the load, in the order of the slot
 * planner. A request is declined as soon as its expected wait clearly exceeds its caller's time limit.
 */
export class EngineAdmission {
    private readonly tickets = new Tickets();
    private readonly counter = new LoadCounter();
    private readonly runTimes = new RunTimes();
    private readonly scheduler: RequestScheduler;

    constructor(private readonly options: EngineAdmissionOptions) {
        const { limits, usage, planner } = options;
        this.scheduler = limits === undefined ? new ImmediateScheduler() : new UrgencyScheduler({ limits, usage });
        if (this.scheduler.loadOrder !== undefined) {
            planner.queue.setOrder(this.scheduler.loadOrder);
        }
    }

    /** Load of the admitted requests that have not finished. */
    get load(): Readonly<UpstreamLoad> {
        return this.counter.read(this.options.engine);
    }

    /** Load and learned speed, as the status of the engine contains them. */
    get status(): Pick<EngineStatus, "load" | "speed"> {
        const speed = this.options.speed?.read();
        return { load: { ...this.load }, ...(speed === undefined ? undefined : { speed }) };
    }

    /** Number of queued requests. */
    get waitingCount(): number {
        return this.tickets.listWaiting().length;
    }

    /** Number of queued requests that wait for room only. */
    get roomWaitingCount(): number {
        return this.tickets.listWaiting().filter(({ request }) => this.isReady(request)).length;
    }

    /** Number of requests that keep an adapter loaded: they run, or wait for room only. */
    countUses(key: string): number {
        return this.tickets.countUses(key);
    }

    /** Admits, queues or declines a request. */
    handleRequest(vm: string, request: AdmissionRequest, now: number): AdmissionReply {
        const { ticket, key, patienceMs } = request;
        const { planner } = this.options;
        if (key === undefined && !planner.hasModel(request.model)) {
            // The wait is 0 before the engine's first report, when its models are unknown.
            const expectedMs = planner.readModelWaitMs(request.model, now) || defaultModelLoadMs;
            return this.createDecline(request, expectedMs);
        }
        this.scheduler.recordArrival(request, now);
        const version = this.findUsableVersion(request);
        const isReady = this.isReady(request);
        const claim = createClaim(request, now);
        const ahead = this.scheduler.listAhead(claim, this.tickets.listWaiting(), this.load, now);
        const readyAhead = ahead.filter(other => this.isReady(other.request));
        const mayStart = isReady && readyAhead.length === 0
            && this.scheduler.hasRoom({ request, load: this.load, now });
        const expectedMs = mayStart ? 0 : this.readExpectedMs(request, claim, ahead, now);
        if (expectedMs * this.scheduler.requiredWaitShare > patienceMs) {
            return this.createDecline(request, expectedMs);
        }
        // Requests that wait for the same adapter are admitted together, and their prompts are prefilled one after the
        // other.
        const waitingTokens = countDemand(isReady ? readyAhead : this.tickets.listWaitingFor(key!)).prefillTokens;
        if (this.isBusier(request, waitingTokens, now)) {
            const load = this.readLoad(waitingTokens, now);
            const isComing = !isReady && planner.listLoading().includes(key!);
            return { kind: "busier", ticket, load, version, isComing };
        }
        this.scheduler.scheduleReviews(claim, this.tickets.listWaiting());
        if (mayStart) {
            this.start(vm, request, claim, now);
            return { kind: "admitted", ticket, version };
        }
        const added = this.tickets.add(vm, request, now);
        this.tickets.setHolding(added, isReady);
        if (!isReady) {
            planner.addLoadRequest(this.scheduler.createLoadRequest(added, now), now);
        }
        return { kind: "queued", ticket, expectedMs };
    }

    /** Admits queued requests that can start, and declines those that cannot be served in time any more. */
    advance(now: number): AddressedReply[] {
        for (const ticket of this.tickets.list()) {
            if (!isWaiting(ticket)) {
                this.expireRun(ticket, now);
            }
        }
        const replies: AddressedReply[] = [];
        const ahead: Ticket[] = [];
        for (const ticket of this.scheduler.rank(this.tickets.listWaiting(), this.load, now)) {
            const reply = this.checkWaiting(ticket, ahead, now);
            if (reply === undefined) {
                ahead.push(ticket);
            }
            else {
                replies.push({ vm: ticket.vm, reply });
            }
        }
        return replies;
    }

    /** Records that the prompt of a request is prefilled. */
    finishPrefill(vm: string, ticket: number, now: number): void {
        this.tickets.find(vm, ticket)?.load?.finishPrefill();
        this.options.speed?.finish(formatId(vm, ticket), now);
    }

    /** Records that a request has finished, or that its caller no longer waits. */
    finishRequest(vm: string, ticket: number, now: number): void {
        const found = this.tickets.find(vm, ticket);
        if (found !== undefined) {
            this.runTimes.record(found, now);
            this.remove(found);
        }
    }

    /**
     * Replaces the running requests of a VM by those that it reports. Queued requests stay queued, and requests
     * admitted within the transit time of a reply stay, since the VM may not have received the admission yet.
     * @returns Whether the set of running requests has changed.
     */
    setRuns(vm: string, requests: readonly AdmissionRequest[], now: number): boolean {
        let hasChanged = false;
        const reportedTickets = new Set(requests.map(({ ticket }) => ticket));
        for (const ticket of this.tickets.list()) {
            const isUnaffected = ticket.vm !== vm || isWaiting(ticket);
            if (
                !isUnaffected && !reportedTickets.has(ticket.request.ticket)
                && now - ticket.admittedAt! > maxReplyTransitMs
            ) {
                this.remove(ticket);
                hasChanged = true;
            }
        }
        for (const request of requests) {
            if (this.tickets.find(vm, request.ticket) === undefined) {
                this.start(vm, request, createClaim(request, now), now, false);
                hasChanged = true;
            }
        }
        return hasChanged;
    }

    /** Declines all queued requests, when the engine cannot be reached or is no longer owned. */
    refuseAll(expectedMs: number): AddressedReply[] {
        return this.tickets.listWaiting().map(ticket => {
            this.remove(ticket);
            return { vm: ticket.vm, reply: this.createDecline(ticket.request, expectedMs) };
        });
    }

    /** Expected time until the load of one more adapter would start, in milliseconds. */
    readNextLoadWaitMs(now: number): number {
        return this.options.planner.readNextLoadWaitMs(now, this.listReleases(now));
    }

    /** Expected times until the load of one more adapter would start, by the priorities in use. */
    readLoadWaits(now: number): PriorityWait[] | undefined {
        const { loadOrder } = this.scheduler;
        const releases = this.listReleases(now);
        return loadOrder?.listPriorities(now).map(priority => {
            const claim = { priority, account: undefined, onTimeUntil: Infinity, deadlineAt: Infinity };
            return { priority, waitMs: Math.round(this.options.planner.readNextLoadWaitMs(now, releases, claim)) };
        });
    }

    /** @param ahead Waiting requests that come before this one. */
    private checkWaiting(ticket: Ticket, ahead: readonly Ticket[], now: number): AdmissionReply | undefined {
        const { request, vm, receivedAt, claim } = ticket;
        const isReady = this.isReady(request);
        const isFirst = !ahead.some(other => other.holdsAdapter || other.request.key === undefined);
        if (isReady && isFirst && this.scheduler.hasRoom({ request, load: this.load, now })) {
            this.remove(ticket);
            this.start(vm, request, claim, now);
            return { kind: "admitted", ticket: request.ticket, version: this.findUsableVersion(request) };
        }
        this.setHolding(ticket, isReady, now);
        const remainingMs = receivedAt + request.patienceMs - now;
        // A load from host memory is the fastest load.
        const isTooLate = remainingMs <= (isReady ? 0 : this.options.planner.readLoadMs(true));
        if (!isTooLate && now - ticket.reviewedAt < reviewIntervalMs) {
            return undefined;
        }
        ticket.reviewedAt = now;
        const expectedMs = this.readExpectedMs(request, claim, ahead, now);
        if (!isTooLate && expectedMs * immediateWaitShare <= remainingMs) {
            return undefined;
        }
        this.remove(ticket);
        return this.createDecline(request, expectedMs);
    }

    /** Creates every decline of this admission. */
    private createDecline({ ticket }: AdmissionRequest, expectedMs: number): AdmissionReply {
        return { kind: "declined", ticket, expectedMs };
    }

    /** Expected time until a request can be sent, in milliseconds. @param ahead Waiting requests before it. */
    private readExpectedMs(request: AdmissionRequest, claim: Claim, ahead: readonly Ticket[], now: number): number {
        const { planner } = this.options;
        const { key } = request;
        const isReady = this.isReady(request);
        const rankedClaim = this.scheduler.loadOrder === undefined ? undefined : claim;
        const query = {
            request,
            claim,
            load: this.load,
            waiting: this.tickets.listWaiting(),
            ahead,
            needsLoad: !isReady && !planner.listLoading().includes(key!),
            slotMs: isReady ? 0 : planner.readWaitMs(key!, now, this.listReleases(now), rankedClaim),
            now,
        };
        return this.scheduler.readWaitMs(query, () => this.runTimes.listEnds(this.tickets.list(), now));
    }

    /** Whether the engine's queue is clearly longer than the sender of a request expects. */
    private isBusier({ expectedQueueMs }: AdmissionRequest, waitingTokens: number, now: number): boolean {
        const queueMs = (readQueueMs(this.load) + waitingTokens / prefillTokensPerMs)
            * (this.options.speed?.readQueueFactor(now) ?? 1);
        return expectedQueueMs !== undefined && queueMs > expectedQueueMs + queueToleranceMs;
    }

    /** Load for a VM that expects less, including prompts that wait for the same adapter. */
    private readLoad(waitingTokens: number, now: number): UpstreamLoad {
        const load = { ...this.load, backlogTokens: this.load.backlogTokens + waitingTokens };
        return this.options.speed?.createReportedLoad(load, now) ?? load;
    }

    /** Whether a request waits for nothing but room. */
    private isReady(request: AdmissionRequest): boolean {
        return request.key === undefined || this.findUsableVersion(request) !== undefined;
    }

    private findUsableVersion(request: AdmissionRequest): number | undefined {
        const { key, version } = request;
        const held = key === undefined ? undefined : this.options.planner.findLoadedVersion(key);
        return held !== undefined && this.options.mayUse(key!, held, version) ? held : undefined;
    }

    /** @param isAdmitted Whether this owner admits the request now; otherwise its VM reports that it runs. */
    private start(vm: string, request: AdmissionRequest, claim: Claim, now: number, isAdmitted = true): void {
        const { key, prefillTokens, kvTokens, hasLongAnswer } = request;
        if (isAdmitted) {
            this.options.starts?.recordStart(request.account, readRequestCost(request), now);
            this.options.speed?.begin(formatId(vm, request.ticket), prefillTokens, now);
        }
        this.scheduler.recordStart(claim, this.load, now);
        const load = this.counter.add({
            upstream: this.options.engine,
            backlogTokens: prefillTokens,
            kvTokens,
            hasLongAnswer,
        });
        this.tickets.add(vm, request, now, load);
        if (key !== undefined) {
            this.options.planner.recordUse(key, now);
        }
    }

    /** Keeps the adapter of a waiting request loaded from its load on, and has it loaded again if it is lost. */
    private setHolding(ticket: Ticket, isReady: boolean, now: number): void {
        const wasHolding = ticket.holdsAdapter;
        this.tickets.setHolding(ticket, isReady);
        if (wasHolding && !isReady) {
            this.options.planner.addLoadRequest(this.scheduler.createLoadRequest(ticket, now), now);
        }
    }

    private remove(ticket: Ticket): void {
        const { vm, request: { key, ticket: id }, load, claim } = ticket;
        this.tickets.remove(ticket);
        load?.finish();
        this.options.speed?.cancel(formatId(vm, id));
        if (key === undefined || !isWaiting(ticket)) {
            return;
        }
        const { queue } = this.options.planner;
        if (this.tickets.listWaitingFor(key).length > 0) {
            queue.removeClaim(key, claim);
        }
        else {
            this.options.planner.removeLoadRequest(key);
        }
    }

    /** Removes a run whose VM has not reported its end in time. */
    private expireRun(ticket: Ticket, now: number): void {
        if (now > ticket.admittedAt! + ticket.request.endMs + runEndMarginMs) {
            this.remove(ticket);
        }
    }

    private listReleases(now: number): number[] {
        return this.runTimes.listReleases(this.tickets.list(), now);
    }
}
