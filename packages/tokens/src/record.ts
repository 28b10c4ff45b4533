import { reasons } from "@radishreel/verdict";
import { z } from "zod";

/** A response that is stored for a caller that did not receive it. */
export const storedResponseSchema = z.strictObject({
    status: z.number().int(),
    contentType: z.string(),
    body: z.custom<Uint8Array>(value => value instanceof Uint8Array),
});

/** Outcome of the single run of a token's request. */
export const tokenOutcomeSchema = z.discriminatedUnion("kind", [
    /** The complete response was received. It is stored if it is small enough. */
    z.strictObject({ kind: z.literal("complete"), answer: storedResponseSchema.optional() }),
    z.strictObject({
        kind: z.literal("mayHaveRun"),
        verdict: z.strictObject({
            kind: z.literal("mayHaveRun"),
            reason: z.enum(reasons),
            detail: z.string(),
            retryAfterSeconds: z.number().optional(),
        }),
    }),
]);

/** A ledger as handed over by a gateway that stops. */
export const ledgerRecordSchema = z.strictObject({
    issuer: z.string(),
    /** Time by which every token of the issuer has expired, in milliseconds since 1970. */
    until: z.number(),
    entries: z.array(z.strictObject({
        sequence: z.number().int(),
        digest: z.string(),
        expiresAt: z.number(),
        outcome: tokenOutcomeSchema,
    })),
});

/** See {@link storedResponseSchema}. */
export type StoredResponse = z.infer<typeof storedResponseSchema>;
/** See {@link tokenOutcomeSchema}. */
export type TokenOutcome = z.infer<typeof tokenOutcomeSchema>;
/** See {@link ledgerRecordSchema}. */
export type LedgerRecord = z.infer<typeof ledgerRecordSchema>;
