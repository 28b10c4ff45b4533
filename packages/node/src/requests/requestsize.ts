import { type AdmissionRequest, hasLongAnswer, type ModelDemand } from "@radishreel/fleet";

/** Size of a request, as its admission states it. */
export type RequestSize = Required<
    Pick<AdmissionRequest, "prefillTokens" | "kvTokens" | "outputTokens" | "hasLongAnswer">
>;

/** Creates the size of a request, for an engine that has none of its prompt in its cache. */
export function createRequestSize(model: ModelDemand): RequestSize {
    return {
        prefillTokens: model.promptTokens,
        kvTokens: model.promptTokens + model.outputTokens,
        outputTokens: model.outputTokens,
        hasLongAnswer: hasLongAnswer(model),
    };
}
