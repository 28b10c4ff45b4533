/** Clients of the platform: its append-only log and its list of VMs. */
export { HttpLogClient, HttpVmListClient, type PlatformClientOptions } from "./http.js";
export type { LogClient, LogPage, LogRecord, PlatformError, Vm, VmListClient } from "./types.js";
