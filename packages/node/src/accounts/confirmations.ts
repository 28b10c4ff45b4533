import type { Timers } from "../clock.js";
import type { PeerMessage } from "../links/messages.js";
import type { ClusterChange } from "../ports.js";

/**
 * Age of the last confirmation at which a VM that does not read the store queries other VMs, and the interval between
 * two queries, in milliseconds. If the reader's confirmation is 1.1 s old, that of a follower is at most 1.6 s old,
 * which leaves 3 s of a revocation time of 5 s for a network partition.
 */
const queryAfterAgeMs = 400;
const queryIntervalMs = 400;

/** Age of the last confirmation at which a VM that reads the store queries other VMs, in milliseconds. */
const readerQueryAfterAgeMs = 2000;

/** How long a request with an unknown key waits for a reply of another VM, in milliseconds: replies take about 3 ms. */
const peerReplyTimeoutMs = 50;

/** Time after which an unanswered query is dropped, in milliseconds: a later reply would confirm too old a state. */
const queryLifetimeMs = 10_000;

/** Messages that confirm that a configuration is the newest. */
export type ConfirmationMessage = Extract<PeerMessage, { type: "confirmQuery" | "confirmation"; }>;

/** Options of {@link Confirmations}. */
export interface ConfirmationsOptions {
    /** Clock that also counts while the VM is suspended, in milliseconds. */
    readonly readBoot: () => number;
    readonly timers: Timers;
    /** The change that carried the configuration in force; undefined if there is none. */
    readonly findRouting: () => Extract<ClusterChange, { kind: "routing"; }> | undefined;
    /** Changes that the operator wrote to the store after a position, as far as this VM knows them. */
    readonly listOperatorChanges: (position: number) => ClusterChange[];
    /** Whether any decision of this VM depends on the age of the configuration. */
    readonly isNeeded: () => boolean;
    /** Whether this VM reads the store itself. */
    readonly isReading: () => boolean;
    /** VMs to query, best first. */
    readonly listSources: () => string[];
    readonly send: (vm: string, message: PeerMessage) => void;
}

/**
 * Tracks when this VM's configuration was last known to be the newest. The store confirms this to the VMs that read it,
 * and these VMs confirm it to the others. A reply counts from the time at which its query was sent, so that delays on
 * the way add to the age.
 */
export class Confirmations {
    private asOf = -Infinity;
    private queriedAt = -Infinity;
    private lastQuery = 0;
    private readonly sentAt = new Map<number, number>();
    private readonly waiters = new Set<() => void>();

    constructor(private readonly options: ConfirmationsOptions) {}

    /** Age of the last confirmation, in milliseconds; infinite before the first one. */
    readAgeMs(): number {
        return this.options.readBoot() - this.asOf;
    }

    /** Records that the configuration in force was the newest in the store at a time. @param asOf In boot time. */
    recordConfirmed(asOf: number): void {
        this.asOf = Math.max(this.asOf, asOf);
    }

    /** Queries other VMs if the last confirmation is too old. */
    update(): void {
        const now = this.options.readBoot();
        this.expireQueries(now);
        const dueMs = this.options.isReading() ? readerQueryAfterAgeMs : queryAfterAgeMs;
        if (this.options.isNeeded() && now - this.asOf >= dueMs && now - this.queriedAt >= queryIntervalMs) {
            this.sendQuery(now);
        }
    }

    /** Queries other VMs at once, and waits for the first valid reply or the timeout. */
    async askPeers(): Promise<void> {
        const now = this.options.readBoot();
        if (now - this.queriedAt >= peerReplyTimeoutMs) {
            this.sendQuery(now);
        }
        await new Promise<void>(resolve => {
            const finish = (): void => {
                timer.cancel();
                this.waiters.delete(finish);
                resolve();
            };
            const timer = this.options.timers.scheduleOnce(finish, peerReplyTimeoutMs);
            this.waiters.add(finish);
        });
    }

    receiveMessage(vm: string, message: ConfirmationMessage): void {
        if (message.type === "confirmQuery") {
            this.sendReply(vm, message.query, message.position);
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

    private sendReply(vm: string, query: number, position: number): void {
        const routing = this.options.findRouting();
        const ageMs = this.readAgeMs();
        if (routing === undefined || ageMs === Infinity) {
            return;
        }
        if (routing.position > position) {
            // All later changes are sent: a VM that has a change counts all changes before it as read.
            this.options.send(vm, { type: "changes", changes: this.options.listOperatorChanges(position) });
        }
        this.options.send(vm, { type: "confirmation", query, position: routing.position, ageMs: Math.max(0, ageMs) });
    }

    private sendQuery(now: number): void {
        this.queriedAt = now;
        this.lastQuery += 1;
        this.sentAt.set(this.lastQuery, now);
        const position = this.options.findRouting()?.position ?? -1;
        for (const vm of this.options.listSources()) {
            this.options.send(vm, { type: "confirmQuery", query: this.lastQuery, position });
        }
    }

    private expireQueries(now: number): void {
        for (const [query, sentAt] of this.sentAt) {
            if (now - sentAt > queryLifetimeMs) {
                this.sentAt.delete(query);
            }
        }
    }
}
