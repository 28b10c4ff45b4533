import { createOrdinal, readEra, readNumber } from "@radishreel/fleet";
import type { ClusterChange } from "../src/ports.js";
import type { Schedule } from "./schedule.js";

/** Topics of the simulated store. */
export type Topic = "operator" | "upstreams";

/** A change without its position. */
export type Content = ClusterChange extends infer Change
    ? Change extends ClusterChange ? Omit<Change, "position"> : never
    : never;

/** One record of a topic. */
interface StoredRecord {
    readonly key: string;
    readonly content: Content;
    readonly at: number;
}

/** Response to a read. */
export type EraResponse =
    | {
        readonly kind: "records";
        readonly era: number;
        readonly changes: readonly ClusterChange[];
        /** Names of the registered upstreams, in a response with the newest record of each key. */
        readonly names: ReadonlySet<string>;
        readonly end: number;
    }
    /** The store has no record at that offset. */
    | { readonly kind: "trimmed"; readonly era: number; };

/** A store with keyed topics that may be away, and come back from a copy some seconds old. */
export class EraStore {
    era = 1;
    isDown = false;
    /** Number of reads so far. */
    reads = 0;
    private readonly topics: Record<Topic, StoredRecord[]> = { operator: [], upstreams: [] };

    constructor(private readonly schedule: Schedule) {}

    append(topic: Topic, key: string, content: Content): void {
        this.topics[topic].push({ key, content, at: this.schedule.now });
    }

    /** Finds the newest record of a key. */
    findNewest(topic: Topic, key: string): Content | undefined {
        return this.topics[topic].findLast(record => record.key === key)?.content;
    }

    /** Begins an era without the records of the last `ageMs`. */
    beginEra(ageMs: number): void {
        this.era += 1;
        for (const records of Object.values(this.topics)) {
            const kept = records.findIndex(({ at }) => at > this.schedule.now - ageMs);
            records.splice(kept < 0 ? records.length : kept);
        }
    }

    /** Reads the records from a position on, or the newest record of each key if there is no position. */
    read(topic: Topic, from: number | undefined): EraResponse {
        this.reads += 1;
        const { era } = this;
        const records = this.topics[topic].map(({ key, content }, offset) => ({
            key,
            change: { ...content, position: createOrdinal(era, offset) },
        }));
        const end = createOrdinal(era, records.length);
        if (from !== undefined) {
            if (readNumber(from) > records.length) {
                return { kind: "trimmed", era };
            }
            const changes = records.slice(readNumber(from)).map(({ change }) => change);
            // The client labels what it reads with the era of its call.
            const labelled = changes.map(change => ({
                ...change,
                position: createOrdinal(readEra(from), readNumber(change.position)),
            }));
            return { kind: "records", era, changes: labelled, names: new Set(), end };
        }
        const newest = new Map(records.map(({ key, change }) => [key, change]));
        const listed = [...newest.values()].filter(({ kind }) => kind !== "upstreamGone");
        const names = new Set(listed.flatMap(change => change.kind === "upstream" ? [change.upstream.name] : []));
        return { kind: "records", era, changes: listed, names, end };
    }
}
