import * as z from "zod";

/** An adapter and its version as an engine holds it. */
export const heldAdapterSchema = z.object({ name: z.string(), version: z.number() });

/** A base model on an engine, with its adapters. */
export const heldModelSchema = z.object({
    name: z.string(),
    version: z.number(),
    adapters: z.array(heldAdapterSchema),
});

/** See {@link heldModelSchema}. */
export type HeldModel = z.infer<typeof heldModelSchema>;

/** One incarnation of an engine or of a server of a plain service, as it registered itself. */
export const upstreamSchema = z.object({
    /** Names the incarnation: whatever is learned, asked or ordered under it never counts for another one. */
    id: z.string(),
    /** The name that it registered under, which it may have had in an earlier incarnation. */
    name: z.string(),
    /** When this incarnation started, by its own time of day, in milliseconds. */
    bornAt: z.number(),
    service: z.string(),
    /** `host:port`. Another upstream may get it after this one is gone. */
    address: z.string(),
    dataCentre: z.string(),
    isLeaving: z.boolean(),
    /** Set when it is taken away at short notice: time left when it said so, in milliseconds. */
    remainingMs: z.number().optional(),
    slots: z.number(),
    models: z.array(heldModelSchema),
    /** Orders accepted since its start. */
    sequence: z.number(),
});

/** See {@link upstreamSchema}. */
export type Upstream = z.infer<typeof upstreamSchema>;

/** One part of a prompt. Engines keep parts and need not read them again. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a model request asks for. */
export interface ModelDemand {
    readonly model: string;
    /** Missing for the base model itself. */
    readonly adapter: string | undefined;
    readonly promptTokens: number;
    /** Tokens that the answer will have, as the caller estimates; the most that it may have, without an estimate. */
    readonly outputTokens: number;
    readonly parts: readonly PromptPart[];
}

/** Names an adapter of a model. */
export function formatAdapterKey(model: string, adapter: string): string {
    return `${model}/${adapter}`;
}

/** Key of the adapter that a request asks for; undefined for the base model. */
export function findAdapterKey(demand: ModelDemand | undefined): string | undefined {
    return demand?.adapter === undefined ? undefined : formatAdapterKey(demand.model, demand.adapter);
}

/** The model and the adapter of a key. */
export function parseAdapterKey(key: string): { model: string; adapter: string; } {
    const slash = key.indexOf("/");
    return { model: key.slice(0, slash), adapter: key.slice(slash + 1) };
}

/** Requests on one upstream, as far as its owner or one VM counts them. */
export const upstreamLoadSchema = z.object({
    /** Requests that were let in and have not ended. */
    active: z.number(),
    /** Prompt tokens of requests that have not begun to answer, kept parts left out. */
    backlogTokens: z.number(),
    /** Memory that its requests take, in tokens. */
    kvTokens: z.number(),
    /** Requests with long answers that have not ended. */
    longAnswers: z.number(),
    /** Largest prompt among those that have not begun to answer, kept parts left out, in tokens. */
    largestPrompt: z.number(),
});

/** See {@link upstreamLoadSchema}. */
export type UpstreamLoad = z.infer<typeof upstreamLoadSchema>;

/** What the owner of an engine tells about it. */
export const engineNewsSchema = z.object({
    engine: z.string(),
    /** Rises with each change of owner. */
    fence: z.number(),
    /** Rises with each message of one owner about one engine. */
    revision: z.number(),
    /** Whether the sender still owns it. */
    isOwned: z.boolean(),
    /** Whether the owner may give orders now. */
    canOrder: z.boolean(),
    /** Whether the owner can open connections to it. */
    isReachable: z.boolean(),
    /** Versions by adapter key of what is loaded. */
    held: z.record(z.string(), z.number()),
    /** Adapter keys on their way. */
    coming: z.array(z.string()),
    /** How long one more adapter would wait until its load begins, in milliseconds. */
    waitMs: z.number(),
    /** How long a load takes from the weight store and from the engine's memory, as learned, in milliseconds. */
    coldLoadMs: z.number(),
    warmLoadMs: z.number(),
    load: upstreamLoadSchema,
});

/** See {@link engineNewsSchema}. */
export type EngineNews = z.infer<typeof engineNewsSchema>;

/** A request that asks an engine's owner to be let in. Times count from when it is sent. */
export const admissionRequestSchema = z.object({
    /** Names the request among those of one VM. */
    ticket: z.number(),
    /** Base model. */
    model: z.string(),
    /** Key of its adapter; missing for the base model. */
    key: z.string().optional(),
    /** Oldest version that may answer; missing for any. */
    version: z.number().optional(),
    /** Prompt tokens that the engine must read. */
    prefillTokens: z.number(),
    /** Memory that it will take, in tokens. */
    kvTokens: z.number(),
    hasLongAnswer: z.boolean(),
    /** Time for which it will run, as expected, in milliseconds. */
    runMs: z.number(),
    /** Time in which it must be sent to be answered in time, in milliseconds; negative once it is late. */
    onTimeMs: z.number(),
    /** Time in which it must be sent for its caller to be there still, in milliseconds. */
    patienceMs: z.number(),
    /** Time after which it has ended in any case, in milliseconds. */
    endMs: z.number(),
    /**
     * Time for which the sender expects it to be held up by other requests on the engine or by a load, in milliseconds;
     * missing for one that takes the engine as it is.
     */
    expectedQueueMs: z.number().optional(),
});

/** See {@link admissionRequestSchema}. */
export type AdmissionRequest = z.infer<typeof admissionRequestSchema>;

/** What an owner says to a request that asked. */
export const admissionAnswerSchema = z.discriminatedUnion("kind", [
    /** It may be sent now. `version` is that of its adapter, missing for the base model. */
    z.object({ kind: z.literal("admitted"), ticket: z.number(), version: z.number().optional() }),
    /** It waits, and is expected to be let in after this time, in milliseconds. */
    z.object({ kind: z.literal("queued"), ticket: z.number(), expectedMs: z.number() }),
    /** It cannot be let in while its caller waits; after this time it could be, in milliseconds. */
    z.object({ kind: z.literal("declined"), ticket: z.number(), expectedMs: z.number() }),
    /**
     * It was not taken, since the engine has clearly more to do than the sender expected: this, with the prompts that wait
     * for the same adapter. `version` is that of its adapter, missing where it is not loaded and for the base model.
     */
    z.object({
        kind: z.literal("busier"),
        ticket: z.number(),
        load: upstreamLoadSchema,
        version: z.number().optional(),
        /** Whether its adapter is on its way for others. */
        isComing: z.boolean(),
    }),
    /** The VM that was asked does not own the engine. */
    z.object({ kind: z.literal("notOwned"), ticket: z.number() }),
]);

/** See {@link admissionAnswerSchema}. */
export type AdmissionAnswer = z.infer<typeof admissionAnswerSchema>;
