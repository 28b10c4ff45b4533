/** How a request ended, whether it may have run, and how a caller is told. */
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
