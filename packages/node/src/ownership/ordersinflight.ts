import type { OrderOutcome } from "@radishreel/fleet";
import type { Timers } from "../clock.js";

/** Options of {@link OrdersInFlight}. */
export interface OrdersInFlightOptions {
    readonly timers: Timers;
    /** Time in milliseconds that includes suspension of the VM. */
    readonly readTime: () => number;
    /** How long an order without an answer may still arrive after its sender gave it up, in milliseconds. */
    readonly maxTransitMs: number;
}

/** An order that may still arrive at its engine. */
interface OrderInFlight {
    readonly name: string;
    /** Resolves when the outcome is known to the sender, `unknown` included. */
    readonly outcome: Promise<unknown>;
    /** Resolves when the order has arrived or cannot arrive any more. */
    readonly end: Promise<void>;
    /** Latest time of arrival; undefined before the outcome. */
    endsAt: number | undefined;
}

/** Orders that may still arrive at their engines. They are kept after ownership of the engine ends. */
export class OrdersInFlight {
    private readonly orders = new Set<OrderInFlight>();

    constructor(private readonly options: OrdersInFlightOptions) {}

    /**
     * Records an order that is being sent to an engine. Only an answer shows that it has arrived: without one it may
     * arrive long after its connection was reset.
     * @returns Called when the engine answers after the outcome was `unknown`.
     */
    record(name: string, sending: Promise<OrderOutcome>): () => void {
        const { timers, readTime, maxTransitMs } = this.options;
        let finish = (): void => {};
        const finished = new Promise<void>(resolve => {
            finish = resolve;
        });
        const outcome = sending.then(result => {
            if (result !== "unknown") {
                finish();
                return;
            }
            order.endsAt = readTime() + maxTransitMs;
            timers.scheduleOnce(finish, maxTransitMs);
        });
        const order: OrderInFlight = { name, outcome, end: finished, endsAt: undefined };
        this.orders.add(order);
        void finished.then(() => this.orders.delete(order));
        return finish;
    }

    /** Waits until the outcomes of all orders to the selected engines are known: usually some 5 ms, at most 0.16 s. */
    async waitOutcomes(isSelected: (name: string) => boolean): Promise<void> {
        await Promise.all(this.listOrders(isSelected).map(({ outcome }) => outcome));
    }

    /** Waits until no present order to the selected engines can still arrive. */
    async waitArrivals(isSelected: (name: string) => boolean): Promise<void> {
        await Promise.all(this.listOrders(isSelected).map(({ end }) => end));
    }

    /** Latest time at which a present order to the selected engines may arrive; undefined if all were answered. */
    findLastArrival(isSelected: (name: string) => boolean): number | undefined {
        const ends = this.listOrders(isSelected).flatMap(({ endsAt }) => endsAt ?? []);
        return ends.length === 0 ? undefined : Math.max(...ends);
    }

    private listOrders(isSelected: (name: string) => boolean): OrderInFlight[] {
        return [...this.orders].filter(({ name }) => isSelected(name));
    }
}
