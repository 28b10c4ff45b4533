/** HTTP clients of the platform's append-only log and VM list. */
export { HttpLogClient, HttpVmListClient, type PlatformClientOptions } from "./http.js";
export type { LogClient, LogPage, LogRecord, PlatformError, Vm, VmListClient } from "./types.js";
