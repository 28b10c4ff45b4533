/** Where adapters are loaded, which give way, and how many are transferred from the weight store at a time. */
export { type CopyRule, moderateCopies, scarceCopies } from "./copyrule.js";
export {
    type EvictionQuery,
    type EvictionRule,
    type LoadNeed,
    PopularityEviction,
    ReloadCostEviction,
} from "./evictionrule.js";
export { EvictionPlanner, type EvictionPlannerOptions } from "./evictions.js";
export {
    defaultMaxTransfers,
    type EngineTransfers,
    engineTransfersSchema,
    TransferBudget,
    type TransferBudgetOptions,
    type TransferTotals,
} from "./transferbudget.js";
export { VersionRefresher, type VersionRefresherOptions } from "./versionrefresher.js";
