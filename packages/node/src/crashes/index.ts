/** Requests that end each upstream that runs them: found, told to all VMs, kept, and refused. */
export { type AttemptTimes, CrashGuard, type CrashGuardOptions } from "./guard.js";
export type { Permit, PermitMessage } from "./permits.js";
