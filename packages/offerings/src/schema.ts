import { z } from "zod";

const nameSchema = z.string().regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/,
    "expected a name of letters, digits, '.', '_' and '-'",
);

/** Class of a client account. Paying requests never wait behind trial requests. */
export const accountClassSchema = z.enum(["paying", "trial"]);

/** See {@link accountClassSchema}. */
export type AccountClass = z.infer<typeof accountClassSchema>;

/** A client account. */
export const accountSchema = z.strictObject({
    class: accountClassSchema,
    /** SHA-256 digests of the API keys, in lower-case hexadecimal. */
    keyDigests: z.array(
        z.string().regex(/^[0-9a-f]{64}$/, "expected a SHA-256 digest: 64 lower-case hexadecimal digits"),
    ).min(1),
    /** Adapters that the account may use: names, or prefixes that end in `*`. */
    adapters: z.array(z.string().min(1)).default([]),
    /** Plain services that the account may call. */
    services: z.array(nameSchema).default([]),
    /** Share relative to other accounts of the same class. */
    weight: z.number().positive().max(1000).default(1),
});

/** An adapter and its served versions. */
export const adapterSchema = z.strictObject({
    baseModel: nameSchema,
    versions: z.array(nameSchema).min(1),
});

/** A service call that must not run twice. */
export const nonIdempotentCallSchema = z.strictObject({
    method: z.enum(["POST", "PUT", "PATCH", "DELETE"]),
    /** Path below the service; a trailing `*` matches any suffix. */
    path: z.string().startsWith("/"),
});

/** A plain service. */
export const serviceSchema = z.strictObject({
    nonIdempotent: z.array(nonIdempotentCallSchema).default([]),
    /** Longest silence of an upstream before the call fails, in milliseconds. */
    timeoutMs: z.number().int().positive().default(10_000),
});

/** Weights and limits of scheduling and loading decisions. */
export const policySchema = z.strictObject({
    /** Weight of load stalls against batch fullness: 1 counts only stalls, 0 counts only fullness. */
    stallWeight: z.number().min(0).max(1).default(0.7),
    /** Share of an engine's batch room that trial requests may take while paying requests use the engine. */
    trialBatchShare: z.number().min(0).max(1).default(0.3),
    /** Share of an engine's adapter slots for adapters that only trial requests use. */
    trialSlotShare: z.number().min(0).max(1).default(0.25),
    /** Adapter loads per second that the weight store sustains, over all data centres. */
    storeLoadsPerSecond: z.number().positive().default(2),
    /** Weights by which the data centres share `storeLoadsPerSecond`; an unlisted data centre has weight 1. */
    storeShares: z.record(nameSchema, z.number().positive()).default({}),
});

/** Offerings as operators write them, in one file or several. */
export const offeringsSchema = z.strictObject({
    customers: z.record(nameSchema, accountSchema).default({}),
    adapters: z.record(nameSchema, adapterSchema).default({}),
    services: z.record(nameSchema, serviceSchema).default({}),
    policy: policySchema.default(policySchema.parse({})),
});

/** See {@link accountSchema}. */
export type Account = z.infer<typeof accountSchema>;
/** See {@link adapterSchema}. */
export type Adapter = z.infer<typeof adapterSchema>;
/** See {@link serviceSchema}. */
export type Service = z.infer<typeof serviceSchema>;
/** See {@link policySchema}. */
export type Policy = z.infer<typeof policySchema>;
/** See {@link offeringsSchema}. */
export type Offerings = z.infer<typeof offeringsSchema>;

/** An entry that a change sets. */
export const entrySchema = z.discriminatedUnion("section", [
    z.strictObject({ section: z.literal("customers"), name: nameSchema, value: accountSchema }),
    z.strictObject({ section: z.literal("adapters"), name: nameSchema, value: adapterSchema }),
    z.strictObject({ section: z.literal("services"), name: nameSchema, value: serviceSchema }),
    z.strictObject({ section: z.literal("policy"), name: z.literal("policy"), value: policySchema }),
]);

/** See {@link entrySchema}. */
export type Entry = z.infer<typeof entrySchema>;

/** Section and name of an entry that a change removes. */
export const entryKeySchema = z.strictObject({
    section: z.enum(["customers", "adapters", "services"]),
    name: nameSchema,
});

/** See {@link entryKeySchema}. */
export type EntryKey = z.infer<typeof entryKeySchema>;

/** Entries that an apply sets and removes. */
export const changeSchema = z.strictObject({ set: z.array(entrySchema), remove: z.array(entryKeySchema) });

/** See {@link changeSchema}. */
export type Change = z.infer<typeof changeSchema>;
