import type { Timers } from "../clock.js";
import type { PeerMessage } from "../links/messages.js";
import type { ClusterChange } from "../ports.js";

/**
 * Age of what is known from which a VM that does not read the store asks others, in milliseconds, and the pause between two
 * questions: with an age of 1.1 s at the reader it is 1.6 s old at most, which leaves 3 s of 5 s for a cut.
 */
const askAgeMs = 400;
const askPauseMs = 400;

/** A VM that reads the store waits for news of it that long, in milliseconds: only later it asks others. */
const readerAskAgeMs = 2000;

/** How long a caller with a key that is not known is kept while another VM is asked, in milliseconds: answers take 3 ms. */
const othersWaitMs = 50;

/** A question without an answer is forgotten after this, in milliseconds: an answer as old would confirm nothing of use. */
const queryLifeMs = 10_000;

/** Messages about confirmations. */
export type ConfirmationMessage = Extract<PeerMessage, { type: "confirmQuery" | "confirmation"; }>;

/** Options of {@link Confirmations}. */
export interface ConfirmationsOptions {
    /** Time that goes on while the VM is suspended, in milliseconds. */
    readonly readBoot: () => number;
    readonly timers: Timers;
    /** The configuration in force, as it was read; undefined if there is none. */
    readonly findRouting: () => Extract<ClusterChange, { kind: "routing"; }> | undefined;
    /** What the operator has written after a position, as far as this VM knows. */
    readonly listOperatorChanges: (position: number) => ClusterChange[];
    /** Whether anything depends on the age of the configuration. */
    readonly isNeeded: () => boolean;
    /** Whether this VM reads the store by itself. */
    readonly isReading: () => boolean;
    /** VMs to ask, best first. */
    readonly listSources: () => string[];
    readonly send: (vm: string, message: PeerMessage) => void;
}

/**
 * As of when this VM's configuration was the newest. The store confirms it to the VMs that read there, these to the others.
 * An answer counts from when the question was sent, so that what a message waits on its way adds to the age.
 */
export class Confirmations {
    private asOf = -Infinity;
    private askedAt = -Infinity;
    private lastQuery = 0;
    private readonly sentAt = new Map<number, number>();
    private readonly waiters = new Set<() => void>();

    constructor(private readonly options: ConfirmationsOptions) {}

    /** Age of the last confirmation, in milliseconds; infinite before the first one. */
    readAgeMs(): number {
        return this.options.readBoot() - this.asOf;
    }

    /** Takes word of the store. @param asOf In boot time. */
    recordConfirmed(asOf: number): void {
        this.asOf = Math.max(this.asOf, asOf);
    }

    /** Asks others if what is known grows old. */
    update(): void {
        const now = this.options.readBoot();
        this.expireQueries(now);
        const dueMs = this.options.isReading() ? readerAskAgeMs : askAgeMs;
        if (this.options.isNeeded() && now - this.asOf >= dueMs && now - this.askedAt >= askPauseMs) {
            this.sendQuery(now);
        }
    }

    /** Asks others at once, and waits until one has answered or the time is over. */
    async askOthers(): Promise<void> {
        const now = this.options.readBoot();
        if (now - this.askedAt >= othersWaitMs) {
            this.sendQuery(now);
        }
        await new Promise<void>(resolve => {
            const finish = (): void => {
                timer.cancel();
                this.waiters.delete(finish);
                resolve();
            };
            const timer = this.options.timers.scheduleOnce(finish, othersWaitMs);
            this.waiters.add(finish);
        });
    }

    receiveMessage(vm: string, message: ConfirmationMessage): void {
        if (message.type === "confirmQuery") {
            this.sendAnswer(vm, message.query, message.position);
            return;
        }
        const sentAt = this.sentAt.get(message.query);
        const own = this.options.findRouting()?.position ?? -1;
        if (sentAt === undefined || message.position > own) {
            return;
        }
        this.recordConfirmed(sentAt - message.ageMs);
        for (const finish of [...this.waiters]) {
            finish();
        }
    }

    private sendAnswer(vm: string, query: number, position: number): void {
        const routing = this.options.findRouting();
        const ageMs = this.readAgeMs();
        if (routing === undefined || ageMs === Infinity) {
            return;
        }
        if (routing.position > position) {
            // All of them: a VM that has a later one takes those before it for read.
            this.options.send(vm, { type: "changes", changes: this.options.listOperatorChanges(position) });
        }
        this.options.send(vm, { type: "confirmation", query, position: routing.position, ageMs: Math.max(0, ageMs) });
    }

    private sendQuery(now: number): void {
        this.askedAt = now;
        this.lastQuery += 1;
        this.sentAt.set(this.lastQuery, now);
        const position = this.options.findRouting()?.position ?? -1;
        for (const vm of this.options.listSources()) {
            this.options.send(vm, { type: "confirmQuery", query: this.lastQuery, position });
        }
    }

    private expireQueries(now: number): void {
        for (const [query, sentAt] of this.sentAt) {
            if (now - sentAt > queryLifeMs) {
                this.sentAt.delete(query);
            }
        }
    }
}
