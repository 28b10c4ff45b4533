import type { LoadHandle } from "../load.js";
import type { AdmissionRequest } from "../types.js";
import { type Claim, defaultPriority } from "./order.js";
import type { RoomDemand } from "./room.js";

/** A request that waits for the engine or runs on it. Times in milliseconds. */
export interface Ticket {
    readonly vm: string;
    readonly request: AdmissionRequest;
    readonly receivedAt: number;
    readonly claim: Claim;
    reviewedAt: number;
    /** Undefined while the request waits. */
    readonly admittedAt: number | undefined;
    readonly load: LoadHandle | undefined;
    /** Whether the request keeps its adapter loaded: it runs, or waits for room only. */
    holdsAdapter: boolean;
}

/** The requests that wait for an engine or run on it, and how many of them keep each adapter loaded. */
export class Tickets {
    private readonly tickets = new Map<string, Ticket>();
    private readonly uses = new Map<string, number>();

    /** Adds a request. @param load Its load on the engine; undefined for a request that waits. */
    add(vm: string, request: AdmissionRequest, now: number, load?: LoadHandle): Ticket {
        const ticket: Ticket = {
            vm,
            request,
            receivedAt: now,
            claim: createClaim(request, now),
            reviewedAt: now,
            admittedAt: load === undefined ? undefined : now,
            load,
            holdsAdapter: false,
        };
        this.tickets.set(formatId(vm, request.ticket), ticket);
        this.setHolding(ticket, load !== undefined);
        return ticket;
    }

    find(vm: string, ticket: number): Ticket | undefined {
        return this.tickets.get(formatId(vm, ticket));
    }

    remove(ticket: Ticket): void {
        this.tickets.delete(formatId(ticket.vm, ticket.request.ticket));
        this.setHolding(ticket, false);
    }

    list(): Ticket[] {
        return [...this.tickets.values()];
    }

    listWaiting(): Ticket[] {
        return this.list().filter(isWaiting);
    }

    /** Lists the requests that wait for an adapter, or for room with it. */
    listWaitingFor(key: string): Ticket[] {
        return this.listWaiting().filter(({ request }) => request.key === key);
    }

    /** Sets whether a request keeps its adapter loaded. */
    setHolding(ticket: Ticket, holdsAdapter: boolean): void {
        const { key } = ticket.request;
        if (holdsAdapter === ticket.holdsAdapter || key === undefined) {
            return;
        }
        ticket.holdsAdapter = holdsAdapter;
        const uses = this.countUses(key) + (holdsAdapter ? 1 : -1);
        if (uses > 0) {
            this.uses.set(key, uses);
        }
        else {
            this.uses.delete(key);
        }
    }

    /** Number of requests that keep an adapter loaded. */
    countUses(key: string): number {
        return this.uses.get(key) ?? 0;
    }
}

/** Whether a request has not been admitted. */
export function isWaiting(ticket: Ticket): boolean {
    return ticket.admittedAt === undefined;
}

/** States what the place of a request depends on. */
export function createClaim(request: AdmissionRequest, now: number): Claim {
    const { priority = defaultPriority, account, onTimeMs, patienceMs } = request;
    return { priority, account, onTimeUntil: now + onTimeMs, deadlineAt: now + patienceMs };
}

/** Counts what requests will occupy in the engine. */
export function countDemand(tickets: readonly Ticket[]): RoomDemand {
    let [count, kvTokens, prefillTokens] = [0, 0, 0];
    for (const { request } of tickets) {
        count += 1;
        kvTokens += request.kvTokens;
        prefillTokens += request.prefillTokens;
    }
    return { count, kvTokens, prefillTokens };
}

/** Formats the key of a request among those of all VMs. */
export function formatId(vm: string, ticket: number): string {
    return `${vm} ${ticket}`;
}
