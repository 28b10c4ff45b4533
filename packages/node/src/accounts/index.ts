/** Client accounts: resolves a request's account, checks that its key is still valid, and enforces its quota. */
export {
    type AccountBounds,
    AccountGuard,
    type AccountGuardOptions,
    type AccountMessage,
    type AccountVerdict,
} from "./guard.js";
export type { QuotaClaim } from "./quotas.js";
