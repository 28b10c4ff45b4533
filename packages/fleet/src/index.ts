/** A VM's view of engines and services, and the decisions based on it. Pure: callers pass the time. */
export { type AddressedAnswer, EngineAdmission, type EngineAdmissionOptions } from "./admission.js";
export { RetryBudget, type RetryBudgetOptions } from "./budget.js";
export {
    type ChoiceOptions,
    chooseEngine,
    chooseServer,
    type EngineChoiceOptions,
    findUsableVersion,
    hasLongAnswer,
    prefillTokensPerMs,
    readQueueMs,
    type UpstreamChoice,
} from "./choose.js";
export { ClaimClock, type ClaimClockOptions, type ClaimReason, orderFlightMs, readShard } from "./claims.js";
export { UpstreamHealth } from "./health.js";
export { KeptParts } from "./kept.js";
export { LoadCounter, type LoadHandle, type LoadShare, noLoad } from "./load.js";
export { LoadTimes } from "./loadtimes.js";
export type { EngineOrder, EngineReport, OrderAction, OrderAnswer, PlacesStep } from "./orders.js";
export { PauseThreshold, PromptHistory } from "./pauses.js";
export { PermitReferee, type PermitRefereeOptions } from "./permits.js";
export { EnginePlaces, type EnginePlacesOptions } from "./places.js";
export {
    type Clearance,
    type Crash,
    type CrashReport,
    crashReportSchema,
    Quarantine,
    type QuarantineOptions,
    type RefusedRequest,
    type RequestVerdict,
} from "./quarantine.js";
export {
    type QuotaBounds,
    type QuotaLimit,
    QuotaPool,
    type QuotaPoolOptions,
    type QuotaVerdict,
    readShareLeaseMs,
} from "./quota.js";
export { rankHomes } from "./rank.js";
export {
    type AdmissionAnswer,
    admissionAnswerSchema,
    type AdmissionRequest,
    admissionRequestSchema,
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
export { AdapterVersions, firstVersion, type NamedVersion, usualReplacedMs } from "./versions.js";
export { FleetView, type UpstreamState } from "./view.js";
export { type AdapterWant } from "./wants.js";
