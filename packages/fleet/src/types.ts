import { z } from "zod";

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
    /** New with every start. */
    id: z.string(),
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

/** Load that one VM has put on one upstream. Sums over VMs give the upstream's load. */
export const upstreamLoadSchema = z.object({
    /** Requests sent and not ended. */
    active: z.number(),
    /** Prompt tokens of requests that have not begun to answer, kept parts left out. */
    backlogTokens: z.number(),
    /** Memory that its requests take, in tokens. */
    kvTokens: z.number(),
    /** Requests with long answers that have not ended. */
    longAnswers: z.number(),
    /** Largest prompt among those that have not begun to answer, kept parts left out, in tokens. */
    largestPrompt: z.number(),
    /** Requests under way by adapter key. */
    uses: z.record(z.string(), z.number()),
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
    /** Whether the owner may give orders now. */
    canOrder: z.boolean(),
    /** Whether the owner can open connections to it. */
    isReachable: z.boolean(),
    /** Versions by adapter key of what is loaded. */
    held: z.record(z.string(), z.number()),
    /** Adapter keys on their way. */
    coming: z.array(z.string()),
    /** Adapter keys that wait for a place, first first. */
    queued: z.array(z.string()),
});

/** See {@link engineNewsSchema}. */
export type EngineNews = z.infer<typeof engineNewsSchema>;
