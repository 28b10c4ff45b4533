/** Poison requests, which end each upstream process that runs them: detects, reports, stores and refuses them. */
export { type AttemptTimes, CrashGuard, type CrashGuardOptions } from "./guard.js";
export { CalledIncarnationCheck } from "./incarnations.js";
export { stableRunMs } from "./monitor.js";
export type { Permit, PermitMessage } from "./permits.js";
export { createQuarantineRoutes, type QuarantineRoutes } from "./routes.js";
