/** Decision logic without I/O for adapter slots, leases, loads and evictions. */
export type {
    EngineCounts,
    EngineReport,
    EvictOutcome,
    GrantedEngine,
    OwnerCommand,
    OwnerEvent,
    OwnerOptions,
} from "./events.js";
export { createFence } from "./fence.js";
export type { LeaseUse } from "./leases.js";
export { Owner } from "./owner.js";
export {
    type LoadOutlook,
    type PlacementExplanation,
    Placer,
    type PlacerCommand,
    type PlacerEvent,
    type PlacerOptions,
} from "./placer.js";
export { Popularity, type PopularityOptions } from "./popularity.js";
export { WaitRank } from "./rank.js";
export { StoreShare, type StoreShareOptions } from "./share.js";
export type { EngineSummary, LoadOutcome, ModelDemand, SlotState, SlotSummary, Waiting } from "./types.js";
