/** Quotas of all VMs together: each VM leases its shares to coordinators, which grant claims on them. */
export { findQuota, formatAccountKey, formatUpstreamKey } from "./keys.js";
export {
    type ClaimWait,
    type QuotaClaim,
    type QuotaMessage,
    Quotas,
    type QuotasOptions,
    type WaitingQuotaClaim,
} from "./quotas.js";
