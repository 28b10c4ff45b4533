import type { z } from "zod";
import { type ContentRecord, contentRecordSchema, recordSchema } from "./records.js";

interface ChunkGroup {
    readonly firstOffset: number;
    readonly texts: (string | undefined)[];
}

/** Result of receiving one record of the stream. */
export type AssembledRecord =
    | { readonly kind: "content"; readonly record: ContentRecord; }
    /** The record is a chunk, or its text cannot be parsed as a record. */
    | { readonly kind: "none"; }
    /** The record commits a chunked record of which chunks are missing. */
    | { readonly kind: "broken"; };

/** Reassembles chunked records. */
export class ChunkAssembler {
    private readonly groups = new Map<string, ChunkGroup>();

    /** Offset of the first chunk of the oldest uncommitted record; undefined without one. */
    findOldestOffset(): number | undefined {
        let oldest: number | undefined;
        for (const group of this.groups.values()) {
            oldest = oldest === undefined ? group.firstOffset : Math.min(oldest, group.firstOffset);
        }
        return oldest;
    }

    /** Discards every uncommitted record whose first chunk is below `offset`. */
    removeBefore(offset: number): void {
        for (const [partOf, group] of this.groups) {
            if (group.firstOffset < offset) {
                this.groups.delete(partOf);
            }
        }
    }

    /** Receives the record at `offset`. */
    receive(offset: number, data: string): AssembledRecord {
        const record = parseJson(data, recordSchema);
        if (record === undefined) {
            return { kind: "none" };
        }
        switch (record.kind) {
            case "chunk":
                this.recordChunk(offset, record.partOf, record.index, record.text);
                return { kind: "none" };
            case "commit":
                return this.receiveCommit(record.partOf, record.chunks);
            default:
                return { kind: "content", record };
        }
    }

    private recordChunk(offset: number, partOf: string, index: number, text: string): void {
        const group = this.groups.get(partOf) ?? { firstOffset: offset, texts: [] };
        group.texts[index] = text;
        this.groups.set(partOf, group);
    }

    private receiveCommit(partOf: string, chunks: number): AssembledRecord {
        const texts = this.groups.get(partOf)?.texts ?? [];
        this.groups.delete(partOf);
        // `includes` also finds array holes, which skipped chunk indexes leave.
        if (texts.length !== chunks || texts.includes(undefined)) {
            return { kind: "broken" };
        }
        const record = parseJson(texts.join(""), contentRecordSchema);
        return record === undefined ? { kind: "none" } : { kind: "content", record };
    }
}

function parseJson<Schema extends z.ZodType>(text: string, schema: Schema): z.output<Schema> | undefined {
    try {
        return schema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}
