/** Verdicts (outcomes of requests), their reasons and the problem documents that report them to callers. */
export { createMayHaveRun, createNotRun, createRefused } from "./create.js";
export { createProblem, type Problem, problemMediaType, problemTypePrefix } from "./problem.js";
export { type Reason, reasons } from "./reasons.js";
export type {
    CompleteVerdict,
    FailureVerdict,
    MayHaveRunVerdict,
    NotRunVerdict,
    RefusedVerdict,
    Verdict,
} from "./types.js";
