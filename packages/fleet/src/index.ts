/** What a VM knows of engines and services, and the decisions that rest on it. Pure: time is handed in. */
export { RetryBudget, type RetryBudgetOptions } from "./budget.js";
export {
    type ChoiceOptions,
    chooseEngine,
    chooseServer,
    type EngineChoiceOptions,
    findUsableVersion,
    longAnswerTokens,
    prefillTokensPerMs,
    type UpstreamChoice,
} from "./choose.js";
export { ClaimClock, type ClaimClockOptions, readShard } from "./claims.js";
export { UpstreamHealth } from "./health.js";
export { KeptParts } from "./kept.js";
export { type LoadHandle, type LoadShare, OwnLoad } from "./load.js";
export { PauseThreshold, PromptHistory } from "./pauses.js";
export {
    type EngineOrder,
    EnginePlaces,
    type EnginePlacesOptions,
    type EngineReport,
    type OrderAction,
    type OrderAnswer,
    type PlacesStep,
} from "./places.js";
export { rankHomes } from "./rank.js";
export {
    type EngineNews,
    engineNewsSchema,
    findAdapterKey,
    formatAdapterKey,
    type HeldModel,
    type ModelDemand,
    parseAdapterKey,
    type PromptPart,
    type Upstream,
    type UpstreamLoad,
    upstreamLoadSchema,
    upstreamSchema,
} from "./types.js";
export { FleetView, type UpstreamState } from "./view.js";
export { type AdapterWant } from "./wants.js";
