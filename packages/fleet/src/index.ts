/** A VM's view of engines and services, and the decisions based on it. Pure: callers pass the time. */
export { engineSilenceMs, ResponseActivity, UpstreamActivity } from "./activity.js";
export { EngineAdmission } from "./admission.js";
export type { AddressedReply, EngineAdmissionOptions } from "./admissionoptions.js";
export {
    RetryBudget,
    RetryBudgets,
    type RetryBudgetsOptions,
    type RetryBudgetState,
    type RetryClaim,
    type RetryLimits,
} from "./budget.js";
export {
    type ChoiceOptions,
    chooseEngine,
    chooseServer,
    type EngineChoiceOptions,
    findUsableVersion,
    type UpstreamChoice,
} from "./choose.js";
export { prefillTokensPerMs, readQueueMs } from "./enginecosts.js";
export { UpstreamHealth } from "./health.js";
export { createLimitQuota, type LimitChange, limitChangeSchema, type UpstreamLimit, UpstreamLimits } from "./limits.js";
export { type CountedRequest, idleLoad, LoadCounter, type LoadHandle } from "./load.js";
export { type LoadRequest } from "./loadqueue.js";
export { LoadTimes } from "./loadtimes.js";
export { hasLongAnswer } from "./longprompts.js";
export type { EngineOrder, EngineReport, OrderAction, OrderOutcome, PlannerStep } from "./orders.js";
export { createOrdinal, maxEra, readEra, readNumber } from "./ordinals.js";
export { OwnerCandidacy, type OwnerCandidacyOptions, type OwnerCandidate, readOwnerCount } from "./owners/index.js";
export { type CondemnedParts, PartQuarantine, type PartQuarantineOptions } from "./partquarantine.js";
export { DirectPaths, type PathFailure, type RelayCandidate, Relays } from "./paths.js";
export { PauseThreshold, PromptHistory } from "./pausethreshold.js";
export { PermitIssuer, type PermitIssuerOptions } from "./permits.js";
export { PrefixCache } from "./prefixcache.js";
export {
    type Clearance,
    type Crash,
    type CrashReport,
    crashReportSchema,
    type PartClearance,
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
export { type AddressedVerdict, type QueuedClaim, QuotaQueue, type QuotaQueueOptions } from "./quotaqueue.js";
export { rankByRendezvous } from "./rank.js";
export {
    type RefusedReturn,
    type ReturnArrival,
    ReturningAdmission,
    type ReturningAdmissionOptions,
    ReturnSchedule,
    type ReturnTime,
    type ReturnVerdict,
    type ToldKind,
} from "./returns/index.js";
export {
    type AccountUsage,
    AgeOrder,
    type Claim,
    defaultPriority,
    EngineRoom,
    type ExpectedEnd,
    type LoadOrder,
    NoAccountUsage,
    type RoomDemand,
    UrgencyOrder,
    type UrgencyOrderOptions,
    type WaitingLoad,
} from "./scheduling/index.js";
export { type FencesByShard, type LeaseReason, type ShardLease } from "./shardlease.js";
export { readShard, ShardLeases, type ShardLeasesOptions } from "./shardleases.js";
export {
    AccountLedger,
    type AccountStarts,
    maxReportedAccounts,
    type RankedUsage,
    readRequestCost,
    type RequestSize,
    type UsageReport,
    usageReportSchema,
} from "./shares/index.js";
export { EngineSlotPlanner, type EngineSlotPlannerOptions } from "./slotplanner.js";
export {
    EngineSpeed,
    type EngineSpeedOptions,
    type KnownSpeed,
    readLatenessCost,
    readSpreadCost,
    ServiceSpeeds,
    SpeedEstimator,
    type SpeedEstimatorOptions,
    type SpeedSummary,
} from "./speeds/index.js";
export {
    type SoftwareClaims,
    softwareClaimsSchema,
    type StreamOrigin,
    type StreamRecord,
    StreamRecords,
    streamRecordSchema,
} from "./streamrecords.js";
export * from "./transfers/index.js";
export {
    type AdmissionReply,
    admissionReplySchema,
    type AdmissionRequest,
    admissionRequestSchema,
    type EngineStatus,
    engineStatusSchema,
    findAdapterKey,
    formatAdapterKey,
    type HeldModel,
    listSharedParts,
    type ModelDemand,
    parseAdapterKey,
    type PromptPart,
    type Upstream,
    type UpstreamLoad,
    upstreamLoadSchema,
    upstreamSchema,
} from "./types.js";
export { AdapterVersions, defaultReplacedMs, firstVersion, type NamedVersion } from "./versions.js";
export { FleetView, type FleetViewOptions, type UpstreamState } from "./view.js";
