/** Order of requests and adapter loads that wait for an engine, and what the engine has room for. */
export { type AccountUsage, NoAccountUsage } from "./accountusage.js";
export { AgeOrder } from "./ageorder.js";
export { readLoadWaitMs } from "./loadwaits.js";
export { type Claim, defaultPriority, type LoadOrder, type WaitingLoad } from "./order.js";
export { EngineRoom, type ExpectedEnd, type RoomDemand } from "./room.js";
export { RunTimes, type TimedRun } from "./runtimes.js";
export {
    ImmediateScheduler,
    immediateWaitShare,
    type RequestScheduler,
    type RoomQuery,
    UrgencyScheduler,
    type UrgencySchedulerOptions,
} from "./scheduler.js";
export { countDemand, createClaim, formatId, isWaiting, type Ticket, Tickets } from "./tickets.js";
export { UrgencyOrder, type UrgencyOrderOptions } from "./urgencyorder.js";
