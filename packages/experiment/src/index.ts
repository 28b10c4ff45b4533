/** Simulations that run seeded request traces against the dispatch and placement logic and against naive policies. */
export { createHashingPolicy, createRoundRobinPolicy } from "./naive.js";
export { RadishreelPolicy, type RadishreelPolicyOptions } from "./radishreel.js";
export { RandomSource, ZipfSource } from "./random.js";
export { type ClassReport, createReport, formatReport, type Report } from "./report.js";
export { listScenarios, type Scenario } from "./scenarios.js";
export { createTrace, type TraceFault, type TraceOptions, type TraceRequest } from "./trace.js";
export { type Policy, type RequestResult, type RunResult, Simulation, type World, type WorldOptions } from "./world.js";
