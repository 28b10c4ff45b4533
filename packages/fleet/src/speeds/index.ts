export { EngineSpeed, type EngineSpeedOptions } from "./enginespeed.js";
export { SpeedEstimator, type SpeedEstimatorOptions } from "./estimator.js";
export { type KnownSpeed, ServiceSpeeds, type SpeedSummary } from "./servicespeeds.js";
export { readLatenessCost, readSpreadCost } from "./unequalcost.js";
