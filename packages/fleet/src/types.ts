import * as z from "zod";
import { engineTransfersSchema } from "./transfers/transferbudget.js";

/** A loaded adapter and its version. */
export const heldAdapterSchema = z.object({ name: z.string(), version: z.number() });

/** A base model on an engine, with its loaded adapters. */
export const heldModelSchema = z.object({
    name: z.string(),
    version: z.number(),
    adapters: z.array(heldAdapterSchema),
});

/** See {@link heldModelSchema}. */
export type HeldModel = z.infer<typeof heldModelSchema>;

/** One incarnation of an engine or of a server of a plain service, as it registered itself. */
export const upstreamSchema = z.object({
    /** Identifies the incarnation: state, requests and orders under this id never apply to another incarnation. */
    id: z.string(),
    /** Name under which the upstream registered; several incarnations may have the same name. */
    name: z.string(),
    /** Start of this incarnation, by the upstream's own clock, in Unix milliseconds. */
    bornAt: z.number(),
    service: z.string(),
    /** `host:port`. Another upstream may use the address after this one is gone. */
    address: z.string(),
    dataCentre: z.string(),
    /** Version of the program that this incarnation runs. Versions have no order. */
    softwareVersion: z.string(),
    isLeaving: z.boolean(),
    /** Set when the upstream is shut down at short notice: time left when it announced this, in milliseconds. */
    remainingMs: z.number().optional(),
    slots: z.number(),
    models: z.array(heldModelSchema),
    /** Orders that the upstream has accepted since its start. */
    sequence: z.number(),
});

/** See {@link upstreamSchema}. */
export type Upstream = z.infer<typeof upstreamSchema>;

/** One part of a prompt. Engines cache parts and need not read them again. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Model, adapter and size of a model request. */
export interface ModelDemand {
    readonly model: string;
    /** Undefined for the base model itself. */
    readonly adapter: string | undefined;
    readonly promptTokens: number;
    /** Tokens of the response, as the caller estimates; the allowed maximum if there is no estimate. */
    readonly outputTokens: number;
    readonly parts: readonly PromptPart[];
}

/** Lists the ids of the parts of a prompt that other requests may share: all but the last, each once. */
export function listSharedParts(demand: ModelDemand | undefined): string[] {
    return demand === undefined ? [] : [...new Set(demand.parts.slice(0, -1).map(({ id }) => id))];
}

/** Formats the key of a model's adapter. */
export function formatAdapterKey(model: string, adapter: string): string {
    return `${model}/${adapter}`;
}

/** Key of the adapter that a request needs; undefined for the base model. */
export function findAdapterKey(demand: ModelDemand | undefined): string | undefined {
    return demand?.adapter === undefined ? undefined : formatAdapterKey(demand.model, demand.adapter);
}

/** Splits an adapter key into model and adapter. */
export function parseAdapterKey(key: string): { model: string; adapter: string; } {
    const slash = key.indexOf("/");
    return { model: key.slice(0, slash), adapter: key.slice(slash + 1) };
}

/** Load of the requests on one upstream, as counted by its owner or by one VM. */
export const upstreamLoadSchema = z.object({
    /** Requests that were admitted and have not finished. */
    active: z.number(),
    /** Prompt tokens of requests whose response has not started, without cached prompt parts. */
    backlogTokens: z.number(),
    /** KV memory of the requests, in tokens. */
    kvTokens: z.number(),
    /** Requests with long responses that have not finished. */
    longAnswers: z.number(),
    /** Largest prompt among the requests whose response has not started, without cached prompt parts, in tokens. */
    largestPrompt: z.number(),
});

/** See {@link upstreamLoadSchema}. */
export type UpstreamLoad = z.infer<typeof upstreamLoadSchema>;

/** Expected wait of a request of one priority, in milliseconds. */
export const priorityWaitSchema = z.object({ priority: z.number(), waitMs: z.number() });

/** See {@link priorityWaitSchema}. */
export type PriorityWait = z.infer<typeof priorityWaitSchema>;

/** Status of an engine, as its owner reports it. */
export const engineStatusSchema = z.object({
    engine: z.string(),
    /** Fencing token: increases with each change of owner. */
    fence: z.number(),
    /** Increases with each message of one owner about one engine. */
    revision: z.number(),
    /** Whether the sender still owns the engine. */
    isOwned: z.boolean(),
    /** Whether the owner may give orders now. */
    canOrder: z.boolean(),
    /** Whether the owner can open connections to the engine. */
    isReachable: z.boolean(),
    /** Versions of the loaded adapters, by adapter key. */
    held: z.record(z.string(), z.number()),
    /** Keys of the adapters that are loading. */
    coming: z.array(z.string()),
    /** Time until the load of a further adapter would start, in milliseconds. */
    waitMs: z.number(),
    /**
     * The same by priority, for the priorities in use, most urgent first. Missing where the order of the loads does not
     * depend on the priority.
     */
    waits: z.array(priorityWaitSchema).optional(),
    /**
     * Observed duration of an adapter load from the weight store and from the engine's host memory, in milliseconds.
     */
    coldLoadMs: z.number(),
    warmLoadMs: z.number(),
    load: upstreamLoadSchema,
    /** Learned lasting speed as a factor of the nominal speed; missing if unknown. */
    speed: z.number().positive().optional(),
    /** Transfers from the weight store; missing from VMs without the transfer budget. */
    transfers: engineTransfersSchema.optional(),
});

/** See {@link engineStatusSchema}. */
export type EngineStatus = z.infer<typeof engineStatusSchema>;

/** A request for admission, sent to an engine's owner. Times count from the moment of sending. */
export const admissionRequestSchema = z.object({
    /** Identifies the request among those of one VM. */
    ticket: z.number(),
    /** Base model. */
    model: z.string(),
    /** Key of the adapter; missing for the base model. */
    key: z.string().optional(),
    /** Oldest allowed version of the adapter; missing if any is allowed. */
    version: z.number().optional(),
    /** Prompt tokens that the engine must read. */
    prefillTokens: z.number(),
    /** KV memory that the request will take, in tokens. */
    kvTokens: z.number(),
    /** Expected tokens of the response. Missing from VMs of older versions. */
    outputTokens: z.number().optional(),
    hasLongAnswer: z.boolean(),
    /** Expected run time of the request, in milliseconds. */
    runMs: z.number(),
    /**
     * Time within which the request must be sent to meet its latency target, in milliseconds; negative once it is late.
     */
    onTimeMs: z.number(),
    /** Time within which the request must be sent before its caller leaves, in milliseconds. */
    patienceMs: z.number(),
    /** Time after which the request has finished in any case, in milliseconds. */
    endMs: z.number(),
    /**
     * Delay by other requests on the engine or by an adapter load that the sender expects, in milliseconds; missing for
     * a request that accepts any delay.
     */
    expectedQueueMs: z.number().optional(),
    /** Priority, from 0 to 9; 0 is the most urgent. Missing from VMs of older versions. */
    priority: z.number().optional(),
    /** Name of the client account; missing if the request has none. */
    account: z.string().optional(),
    /** Identifies the request when its caller returns after a refusal; missing if returns are not recognized. */
    returnKey: z.string().optional(),
    /** Latency target from the arrival at the VM, in milliseconds. Missing from VMs of older versions. */
    targetMs: z.number().optional(),
});

/** See {@link admissionRequestSchema}. */
export type AdmissionRequest = z.infer<typeof admissionRequestSchema>;

/** An owner's reply to a request for admission. */
export const admissionReplySchema = z.discriminatedUnion("kind", [
    /** The request may be sent now. `version` is the version of its adapter, missing for the base model. */
    z.object({ kind: z.literal("admitted"), ticket: z.number(), version: z.number().optional() }),
    /** The request is queued. `expectedMs` is the expected time until its admission, in milliseconds. */
    z.object({ kind: z.literal("queued"), ticket: z.number(), expectedMs: z.number() }),
    /**
     * The request cannot be admitted before its caller leaves. `expectedMs` is the time after which it could be.
     * `returnMs` is the time after which its caller may return: room is reserved for it then, unless the time is longer
     * than the caller can wait. It is missing if the owner reserves nothing.
     */
    z.object({
        kind: z.literal("declined"),
        ticket: z.number(),
        expectedMs: z.number(),
        returnMs: z.number().optional(),
        /** Whether the caller was told this time before, and returned early. */
        isRepeated: z.boolean().optional(),
    }),
    /**
     * The request was not admitted, since the engine has clearly more load than the sender expected. `load` is that
     * load, including the prompts that wait for the same adapter; a transient slowdown counts as further prompt tokens. `version` is the version of the adapter, missing if
     * the adapter is not loaded and for the base model.
     */
    z.object({
        kind: z.literal("busier"),
        ticket: z.number(),
        load: upstreamLoadSchema,
        version: z.number().optional(),
        /** Whether the adapter is already loading for other requests. */
        isComing: z.boolean(),
    }),
    /** The receiving VM does not own the engine. */
    z.object({ kind: z.literal("notOwned"), ticket: z.number() }),
]);

/** See {@link admissionReplySchema}. */
export type AdmissionReply = z.infer<typeof admissionReplySchema>;
