/** When callers whose requests an engine's owner declined may return. */
export { ReturningAdmission, type ReturningAdmissionOptions, type ToldKind } from "./admission.js";
export {
    type RefusedReturn,
    type ReturnArrival,
    ReturnSchedule,
    type ReturnTime,
    type ReturnVerdict,
} from "./schedule.js";
