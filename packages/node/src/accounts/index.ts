/** Client accounts: resolves a request's account, checks that its key is still valid, and enforces its quota. */
export {
    type AccountBounds,
    type AccountClaim,
    AccountGuard,
    type AccountGuardOptions,
    type AccountVerdict,
} from "./guard.js";
