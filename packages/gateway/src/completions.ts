import { parseModelName } from "@radishreel/offerings";
import type { Completion, EngineClient } from "@radishreel/upstreams";
import { createRefused, type RefusedVerdict, type Verdict } from "@radishreel/verdict";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import { z } from "zod";
import { readInstant } from "./clock.js";
import { type Placement, priorityByClass } from "./dispatching.js";
import type { CallerRequest } from "./request.js";
import type { CallerResponse } from "./response.js";
import { type RunContext, type UpstreamEnd, UpstreamRun } from "./run.js";

/** Paths of completions. */
export type CompletionPath = "/v1/chat/completions" | "/v1/completions";

/** Fields of a completion's body that the gateway reads. The body is forwarded to the engine unchanged. */
const completionBodySchema = z.object({
    model: z.string(),
    stream: z.boolean().optional(),
    prompt: z.unknown().optional(),
    messages: z.unknown().optional(),
});

/** Number of characters at the start of a prompt that identify its prefix. */
const prefixLength = 512;

/** What the gateway uses of a completion's body. */
interface CompletionBody extends Pick<z.infer<typeof completionBodySchema>, "model" | "stream"> {
    /** Start of the prompt, as JSON. */
    readonly prompted: string;
}

/** A validated completion. */
export interface CompletionRequest {
    readonly path: CompletionPath;
    readonly model: string;
    readonly isStream: boolean;
    readonly prefix: string;
}

/** Parts of the gateway that {@link runCompletion} uses. */
export interface CompletionContext extends RunContext {
    readonly engines: EngineClient;
    readonly silenceMs: number;
}

/** Validates a completion against the offerings, before the request is queued. */
export function parseCompletion(
    request: CallerRequest,
    path: CompletionPath,
): Result<CompletionRequest, RefusedVerdict> {
    const body = parseBody(request.body);
    if (body.isErr()) {
        return err(body.error);
    }
    const { model, stream, prompted } = body.value;
    const name = parseModelName(model);
    if (name === undefined || request.offerings.findBaseModel(name) === undefined) {
        return err(createRefused("unknownAdapter", `"${model}" is not offered; expected adapter@version`));
    }
    if (!request.offerings.isAdapterAllowed(request.account, name.adapter)) {
        return err(
            createRefused("notAllowed", `customer "${request.account.name}" may not use adapter "${name.adapter}"`),
        );
    }
    const prefix = createHash("sha1").update(model).update(prompted).digest("base64url").slice(0, 12);
    return ok({ path, model, isStream: stream === true, prefix });
}

function parseBody(body: Buffer): Result<CompletionBody, RefusedVerdict> {
    try {
        const parsed = completionBodySchema.safeParse(JSON.parse(body.toString("utf8")));
        if (parsed.success) {
            const { model, stream, prompt, messages } = parsed.data;
            // Throws if they are nested too deeply.
            const prompted = JSON.stringify(messages ?? prompt ?? "").slice(0, prefixLength);
            return ok({ model, stream, prompted });
        }
        return err(
            createRefused(
                "malformedBody",
                `the body is not a completion request: ${parsed.error.issues[0]?.message ?? ""}`,
            ),
        );
    }
    catch {
        return err(createRefused("malformedBody", "the body is not JSON, or is nested too deeply"));
    }
}

/** Runs one completion until its verdict. Forwards response bytes as they arrive, but does not finish the response. */
export function runCompletion(
    context: CompletionContext,
    request: CallerRequest,
    completion: CompletionRequest,
    response: CallerResponse,
    continuesAfterDisconnect: boolean,
): Promise<Verdict> {
    return new CompletionRun(context, request, completion, response, continuesAfterDisconnect).verdict;
}

/** One completion with all its attempts. */
class CompletionRun extends UpstreamRun {
    constructor(
        private readonly completionContext: CompletionContext,
        request: CallerRequest,
        private readonly completion: CompletionRequest,
        response: CallerResponse,
        continuesAfterDisconnect: boolean,
    ) {
        super({ context: completionContext, request, response, continuesAfterDisconnect });
        this.arrive(completion.model, completion.prefix);
    }

    protected open(placement: Placement, callId: string): Completion {
        const { completionContext: context, request, completion, response } = this;
        const { engineId } = placement;
        const accountClass = request.account.class;
        this.recordPlacement(placement);
        context.control.uses.add(engineId, completion.model, accountClass);
        return context.engines.open({
            address: context.findAddress(engineId) ?? "",
            path: completion.path,
            model: completion.model,
            isStream: completion.isStream,
            body: request.body,
            callId,
            priority: priorityByClass[accountClass],
            silenceMs: context.silenceMs,
            checkBeforeSend: () => context.control.leases.isLeased(engineId, completion.model, readInstant()),
            receiver: {
                receiveHead: (status, contentType) => response.begin(status, { "content-type": contentType }),
                receiveData: chunk => this.forwardChunk(chunk),
            },
        });
    }

    protected override recordEnd(engineId: string, end: UpstreamEnd): void {
        const { control } = this.completionContext;
        const { model } = this.completion;
        const isConfirmed = end.isConfirmed ?? true;
        const isLast = control.uses.remove(
            engineId,
            model,
            this.request.account.class,
            isConfirmed,
            control.nextSequence,
        );
        if (isLast && !control.leases.isLeased(engineId, model, readInstant())) {
            control.renewAfterRelease();
        }
    }

    private recordPlacement(placement: Placement): void {
        const { metrics } = this.completionContext;
        const labels = { class: this.request.account.class };
        metrics.loadStalls.observe(labels, placement.stallMs / 1000);
        metrics.batchFullness.observe(labels, placement.fullness);
    }
}
