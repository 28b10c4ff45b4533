import { reasons } from "@radishreel/verdict";
import { z } from "zod";

/** An answer that is kept for a caller that lost it. */
export const keptAnswerSchema = z.strictObject({
    status: z.number().int(),
    contentType: z.string(),
    body: z.custom<Uint8Array>(value => value instanceof Uint8Array),
});

/** How the one run of a token's request ended. */
export const tokenOutcomeSchema = z.discriminatedUnion("kind", [
    /** The whole answer was received. It is kept if it was small enough. */
    z.strictObject({ kind: z.literal("complete"), answer: keptAnswerSchema.optional() }),
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

/** A ledger as it is handed over by a gateway that stops. */
export const ledgerRecordSchema = z.strictObject({
    issuer: z.string(),
    /** Every token of the issuer has expired by then, in milliseconds since 1970. */
    until: z.number(),
    entries: z.array(z.strictObject({
        sequence: z.number().int(),
        digest: z.string(),
        expiresAt: z.number(),
        outcome: tokenOutcomeSchema,
    })),
});

/** See {@link keptAnswerSchema}. */
export type KeptAnswer = z.infer<typeof keptAnswerSchema>;
/** See {@link tokenOutcomeSchema}. */
export type TokenOutcome = z.infer<typeof tokenOutcomeSchema>;
/** See {@link ledgerRecordSchema}. */
export type LedgerRecord = z.infer<typeof ledgerRecordSchema>;
