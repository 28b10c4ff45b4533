/** Bounds the memory that a VM holds for slow callers and upstreams. */
export { createEdgeGuard } from "./create.js";
export { type EdgeGuard, MemoryGuard, type MemoryGuardOptions, memoryRefusal, unboundedEdge } from "./guard.js";
export { type CallerBytes, MemoryLedger, type MemoryLedgerOptions } from "./ledger.js";
