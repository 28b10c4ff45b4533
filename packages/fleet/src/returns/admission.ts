import { EngineAdmission } from "../admission.js";
import type { AddressedReply, EngineAdmissionOptions } from "../admissionoptions.js";
import { prefillTokensPerMs, readQueueMs } from "../enginecosts.js";
import type { AdmissionReply, AdmissionRequest } from "../types.js";
import { ReturnSchedule } from "./schedule.js";

/** Priority of requests that state none. */
const defaultPriority = 5;

/** Requests that one engine runs at the same time, by which the time of one run is shared. */
const batchSize = 64;

/** Options of {@link ReturningAdmission}. */
export interface ReturningAdmissionOptions extends EngineAdmissionOptions {
    /** Called when the first reservation is made, and when the last one has ended. */
    readonly onReservations?: ((hasReservations: boolean) => void) | undefined;
    /** Called for each declined request with what it is told. */
    readonly onDeclined?: ((kind: ToldKind) => void) | undefined;
}

/** What a declined request is told: a reserved time, its earlier time again, or that it cannot be served in its time. */
export type ToldKind = "reserved" | "repeated" | "impossible";

/** A queued request, which may still be declined. */
interface WaitingRequest {
    readonly vm: string;
    readonly request: AdmissionRequest;
    readonly receivedAt: number;
}

/** Admission to one engine that tells declined requests when they may return, and keeps room for them. */
export class ReturningAdmission extends EngineAdmission {
    private readonly waiting = new Map<string, WaitingRequest>();
    private readonly schedule = new ReturnSchedule();
    private hadReservations = false;

    constructor(private readonly returnOptions: ReturningAdmissionOptions) {
        super(returnOptions);
    }

    /** Number of reservations for declined requests. */
    get returnCount(): number {
        return this.schedule.count;
    }

    override handleRequest(vm: string, request: AdmissionRequest, now: number): AdmissionReply {
        const { ticket, returnKey: key, patienceMs, priority = defaultPriority } = request;
        const arrival = { key, priority, workMs: readWorkMs(request), queueMs: readQueueMs(this.load) };
        const verdict = this.schedule.checkArrival(arrival, now);
        // Without reserved work before it, a request is admitted or declined as without reservations.
        const isTooLate = verdict.kind === "new" && verdict.hasReservedBefore
            && verdict.waitMs > Math.max(patienceMs, arrival.queueMs);
        const isIdle = this.load.active === 0 && this.waitingCount === 0;
        if (!isIdle && (verdict.kind === "early" || isTooLate)) {
            const declined: AdmissionReply = { kind: "declined", ticket, expectedMs: verdict.waitMs };
            return this.addReturn(declined, { vm, request, receivedAt: now }, now, arrival.queueMs);
        }
        const reply = super.handleRequest(vm, request, now);
        if (reply.kind === "admitted" || reply.kind === "queued") {
            this.schedule.recordAdmitted(arrival, now);
        }
        if (reply.kind === "queued") {
            this.waiting.set(formatId(vm, ticket), { vm, request, receivedAt: now });
        }
        return this.addReturn(reply, { vm, request, receivedAt: now }, now);
    }

    override advance(now: number): AddressedReply[] {
        this.schedule.expire(now);
        this.recordReservations();
        return super.advance(now).map(({ vm, reply }) => {
            const id = formatId(vm, reply.ticket);
            const waiting = this.waiting.get(id);
            this.waiting.delete(id);
            return { vm, reply: waiting === undefined ? reply : this.addReturn(reply, waiting, now) };
        });
    }

    override refuseAll(expectedMs: number): AddressedReply[] {
        // The engine is gone or owned by another VM: no room in it can be promised.
        this.waiting.clear();
        return super.refuseAll(expectedMs);
    }

    override finishRequest(vm: string, ticket: number, now: number): void {
        const id = formatId(vm, ticket);
        this.waiting.delete(id);
        this.schedule.cancel(id);
        super.finishRequest(vm, ticket, now);
    }

    private recordReservations(): void {
        const hasReservations = this.schedule.count > 0;
        if (hasReservations !== this.hadReservations) {
            this.hadReservations = hasReservations;
            this.returnOptions.onReservations?.(hasReservations);
        }
    }

    /** Adds the reserved return to the reply to a declined request. */
    private addReturn(
        reply: AdmissionReply,
        { vm, request, receivedAt }: WaitingRequest,
        now: number,
        queueMs?: number,
    ): AdmissionReply {
        if (reply.kind !== "declined") {
            return reply;
        }
        const { ticket, returnKey, priority = defaultPriority, onTimeMs, endMs, runMs } = request;
        const { returnMs, isReserved, isRepeated } = this.schedule.scheduleReturn({
            id: formatId(vm, ticket),
            key: returnKey,
            priority,
            queueMs: queueMs ?? reply.expectedMs,
            slackMs: Math.max(0, onTimeMs),
            workMs: readWorkMs(request),
            runMs,
            leftMs: Math.max(0, receivedAt + endMs - now),
        }, now);
        this.recordReservations();
        this.returnOptions.onDeclined?.(isRepeated ? "repeated" : isReserved ? "reserved" : "impossible");
        return isRepeated ? { ...reply, returnMs, isRepeated } : { ...reply, returnMs };
    }
}

/** Time that a request takes from all others on the engine, in milliseconds: its prompt, and its part of the batch. */
function readWorkMs({ prefillTokens, runMs }: AdmissionRequest): number {
    const readMs = prefillTokens / prefillTokensPerMs;
    return readMs + Math.max(0, runMs - readMs) / batchSize;
}

function formatId(vm: string, ticket: number): string {
    return `${vm} ${ticket}`;
}
