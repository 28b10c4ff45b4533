import { type SoftwareClaims, type StreamOrigin, type StreamRecord, StreamRecords } from "@radishreel/fleet";
import type { Timers } from "../clock.js";
import type { PeerMessage } from "../links/messages.js";

/** How long other VMs have to reply to a query, in milliseconds: replies take about 3 ms, or 30 ms from a busy VM. */
const replyTimeoutMs = 100;

/** Messages about the origins of streams. */
export type StreamMessage = Extract<PeerMessage, { type: "streamsBegun" | "streamQuery" | "streamReply"; }>;

type StreamReply = Extract<StreamMessage, { type: "streamReply"; }>;

/** Options of {@link StreamDirectory}. */
export interface StreamDirectoryOptions {
    readonly readTime: () => number;
    readonly timers: Timers;
    /** Lists the other VMs that keep the records of this VM's streams. */
    readonly listHolders: () => string[];
    /** Lists the VMs to which messages can be sent. */
    readonly listPeers: () => string[];
    /** Lists all other VMs that may be running, for replies; undefined if there are too many for each reply. */
    readonly listKnown: () => string[] | undefined;
    /** @returns Whether the message could be sent. */
    readonly send: (vm: string, message: PeerMessage) => boolean;
    readonly sendToAll: (vms: readonly string[], message: PeerMessage) => void;
    /** Finds the claims that this VM knows; undefined until it has read them. */
    readonly findClaims: () => SoftwareClaims | undefined;
}

/** What other VMs replied about one stream. */
export interface StreamReplies {
    /** Undefined if no VM replied with a record. */
    readonly record: StreamRecord | undefined;
    /** Claims of software versions that each VM knows, by VM. VMs that do not know all claims are missing. */
    readonly claims: ReadonlyMap<string, SoftwareClaims>;
    /** All VMs that may be running, as far as those that replied know. */
    readonly knownVms: ReadonlySet<string>;
}

/** A query whose replies have not all arrived. */
interface OpenQuery {
    readonly unanswered: Set<string>;
    readonly claims: Map<string, SoftwareClaims>;
    readonly knownVms: Set<string>;
    finish(record: StreamRecord | undefined): void;
}

/**
 * The origins of streams, as far as this VM knows them. A VM records the origin of each stream whose first event passes
 * through it, and sends the record to the holders before the event, so that another VM can continue the stream after
 * this one is gone.
 */
export class StreamDirectory {
    private readonly records = new StreamRecords();
    /** Holders that have received all records of this VM. */
    private readonly informedHolders = new Set<string>();
    private readonly queries = new Map<number, OpenQuery>();
    private lastQuery = 0;

    constructor(private readonly options: StreamDirectoryOptions) {}

    /** Number of streams whose origins are known. */
    get count(): number {
        return this.records.count;
    }

    /** Records the origin of a stream whose first event is about to be passed to its caller. */
    recordBegin(stream: string, origin: StreamOrigin, lifeMs: number): void {
        const { readTime, listHolders, sendToAll } = this.options;
        const record = { stream, origin, lifeMs };
        if (this.records.merge(record, readTime())) {
            sendToAll(listHolders(), { type: "streamsBegun", records: [record] });
        }
    }

    /** Adds records that were read from the store. */
    addRecords(records: readonly StreamRecord[]): void {
        const now = this.options.readTime();
        records.forEach(record => this.records.merge(record, now));
    }

    find(stream: string): StreamRecord | undefined {
        return this.records.find(stream, this.options.readTime());
    }

    /** Lists the records that this VM learned at or after a time. */
    list(learnedSince?: number): StreamRecord[] {
        return this.records.list(this.options.readTime(), learnedSince);
    }

    /**
     * Asks the holders for a record, and then all other linked VMs.
     * @param stream Undefined if the caller did not identify the stream.
     */
    async ask(stream: string | undefined): Promise<StreamReplies> {
        const holders = this.options.listHolders();
        const replies = await this.askVms(holders, stream);
        if (replies.record !== undefined) {
            return replies;
        }
        const others = await this.askVms(this.options.listPeers().filter(vm => !holders.includes(vm)), stream);
        return {
            record: others.record,
            claims: new Map([...replies.claims, ...others.claims]),
            knownVms: new Set([...replies.knownVms, ...others.knownVms]),
        };
    }

    receiveMessage(vm: string, message: StreamMessage): void {
        switch (message.type) {
            case "streamsBegun":
                this.addRecords(message.records);
                return;
            case "streamQuery":
                this.options.send(vm, {
                    type: "streamReply",
                    query: message.query,
                    record: message.stream === undefined ? undefined : this.find(message.stream),
                    claims: this.options.findClaims(),
                    vms: this.options.listKnown(),
                });
                return;
            case "streamReply":
                this.receiveReply(vm, message);
                return;
        }
    }

    /** Creates the message for a VM whose link has just opened; none if there are no records for it. */
    createInitialMessages(vm: string): PeerMessage[] {
        if (!this.options.listHolders().includes(vm)) {
            return [];
        }
        this.informedHolders.add(vm);
        const records = this.list();
        return records.length === 0 ? [] : [{ type: "streamsBegun", records }];
    }

    /** Sends the records to VMs that have become holders, and drops old records. */
    update(): void {
        const { readTime, listHolders, send } = this.options;
        this.records.expireOld(readTime());
        const holders = listHolders();
        for (const vm of this.informedHolders) {
            if (!holders.includes(vm)) {
                this.informedHolders.delete(vm);
            }
        }
        for (const vm of holders.filter(holder => !this.informedHolders.has(holder))) {
            this.informedHolders.add(vm);
            send(vm, { type: "streamsBegun", records: this.list() });
        }
    }

    /** Stops waiting for the replies of a VM that is gone, and sends it all records when it is back. */
    removeVm(vm: string): void {
        this.informedHolders.delete(vm);
        for (const query of this.queries.keys()) {
            this.receiveReply(vm, { query });
        }
    }

    private async askVms(vms: readonly string[], stream: string | undefined): Promise<StreamReplies> {
        this.lastQuery += 1;
        const query = this.lastQuery;
        const asked = vms.filter(vm => this.options.send(vm, { type: "streamQuery", query, stream }));
        const claims = new Map<string, SoftwareClaims>();
        const knownVms = new Set<string>();
        if (asked.length === 0) {
            return { record: undefined, claims, knownVms };
        }
        return new Promise(resolve => {
            const finish = (record: StreamRecord | undefined): void => {
                timer.cancel();
                this.queries.delete(query);
                this.addRecords(record === undefined ? [] : [record]);
                resolve({ record, claims, knownVms });
            };
            const timer = this.options.timers.scheduleOnce(() => finish(undefined), replyTimeoutMs);
            this.queries.set(query, { unanswered: new Set(asked), claims, knownVms, finish });
        });
    }

    private receiveReply(vm: string, reply: Omit<StreamReply, "type">): void {
        const query = this.queries.get(reply.query);
        if (query === undefined || !query.unanswered.delete(vm)) {
            return;
        }
        if (reply.claims !== undefined) {
            query.claims.set(vm, reply.claims);
        }
        reply.vms?.forEach(known => query.knownVms.add(known));
        if (reply.record !== undefined || query.unanswered.size === 0) {
            query.finish(reply.record);
        }
    }
}
