import { z } from "zod";
import { changeSchema, entrySchema } from "./schema.js";

/** Log stream that carries the offerings. */
export const offeringsStream = "offerings";

/** Version before the first accepted apply. */
export const emptyVersion = -1;

/** Longest text of one record, in characters. A longer text is split into chunks. */
export const maxRecordLength = 192 * 1024;

/** An operator's apply. It takes effect at its offset if `base` is the version in force there, else it is rejected. */
export const applyRecordSchema = z.strictObject({
    kind: z.literal("apply"),
    applyId: z.string().min(1).max(100),
    /** Version against which the change was made: the offset of that version's apply. */
    base: z.number().int().min(emptyVersion),
    /** Digest of all offerings after the change. */
    digest: z.string(),
    author: z.string().max(200),
    /** Time of writing, in milliseconds since 1970. */
    at: z.number().int().nonnegative(),
    change: changeSchema,
});

/** A copy of all offerings, so that they outlive the log's retention. */
export const snapshotRecordSchema = z.strictObject({
    kind: z.literal("snapshot"),
    version: z.number().int().min(emptyVersion),
    /** Every record below this offset is folded into the snapshot. */
    asOf: z.number().int().nonnegative(),
    /** Time of writing, in milliseconds since 1970. */
    at: z.number().int().nonnegative(),
    digest: z.string(),
    entries: z.array(entrySchema),
});

/** A part of the text of a chunked record. */
export const chunkRecordSchema = z.strictObject({
    kind: z.literal("chunk"),
    /** Identifies the chunked record; set by its writer. */
    partOf: z.string().min(1).max(100),
    index: z.number().int().nonnegative(),
    text: z.string(),
});

/** Completes a chunked record, which takes effect at the offset of this commit. */
export const commitRecordSchema = z.strictObject({
    kind: z.literal("commit"),
    partOf: z.string().min(1).max(100),
    chunks: z.number().int().positive(),
});

/** A record that carries offerings: an apply or a snapshot. */
export const contentRecordSchema = z.discriminatedUnion("kind", [applyRecordSchema, snapshotRecordSchema]);

/** Any record of the stream. */
export const recordSchema = z.discriminatedUnion("kind", [
    applyRecordSchema,
    snapshotRecordSchema,
    chunkRecordSchema,
    commitRecordSchema,
]);

/** See {@link applyRecordSchema}. */
export type ApplyRecord = z.infer<typeof applyRecordSchema>;
/** See {@link snapshotRecordSchema}. */
export type SnapshotRecord = z.infer<typeof snapshotRecordSchema>;
/** See {@link contentRecordSchema}. */
export type ContentRecord = z.infer<typeof contentRecordSchema>;

/**
 * The texts to append for a record, in order: the record's own text, or its chunks and their commit.
 * @param partOf Identifier of the chunked record; unique for each attempt, so that chunks of two attempts do not mix.
 */
export function encodeRecord(record: ContentRecord, partOf: string, maxLength = maxRecordLength): string[] {
    const text = JSON.stringify(record);
    if (text.length <= maxLength) {
        return [text];
    }
    const texts: string[] = [];
    for (let start = 0; start < text.length; start += maxLength) {
        texts.push(
            JSON.stringify({ kind: "chunk", partOf, index: texts.length, text: text.slice(start, start + maxLength) }),
        );
    }
    texts.push(JSON.stringify({ kind: "commit", partOf, chunks: texts.length }));
    return texts;
}
