/** Client accounts: whose request it is, whether its key still counts, and what is left of the account's quota. */
export {
    type AccountBounds,
    AccountGuard,
    type AccountGuardOptions,
    type AccountMessage,
    type AccountVerdict,
} from "./guard.js";
export type { QuotaClaim } from "./quotas.js";
