/** Seeded traces against the pure packages, beside naive versions. */
export { createNaiveA, createNaiveB } from "./naive.js";
export { type OurOptions, OurPolicy } from "./ours.js";
export { RandomSource, ZipfSource } from "./random.js";
export { type ClassReport, createReport, formatReport, type Report } from "./report.js";
export { listScenarios, type Scenario } from "./scenarios.js";
export { createTrace, type TraceFault, type TraceOptions, type TraceRequest } from "./trace.js";
export { type Policy, type RequestResult, type RunResult, Simulation, type World, type WorldOptions } from "./world.js";
