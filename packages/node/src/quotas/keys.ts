import { createLimitQuota, type QuotaLimit, type UpstreamLimits } from "@radishreel/fleet";

/** What the key of a quota names: a client account, or the incarnation of an upstream. */
type QuotaKind = "account" | "upstream";

/** Formats the key of a client account's quota. */
export function formatAccountKey(account: string): string {
    return formatKey("account", account);
}

/** Formats the key of the quota that an upstream's limit gives all VMs together. */
export function formatUpstreamKey(id: string): string {
    return formatKey("upstream", id);
}

/** Finds the quotas of client accounts. */
export interface AccountQuotas {
    findQuota(account: string): QuotaLimit | undefined;
}

/** Finds the quota that a key names; undefined if there is none. */
export function findQuota(key: string, accounts: AccountQuotas, limits: UpstreamLimits): QuotaLimit | undefined {
    const space = key.indexOf(" ");
    const kind = key.slice(0, space) as QuotaKind;
    const name = key.slice(space + 1);
    if (kind === "account") {
        return accounts.findQuota(name);
    }
    const limit = limits.find(name);
    return limit === undefined ? undefined : createLimitQuota(limit.perSecond);
}

function formatKey(kind: QuotaKind, name: string): string {
    return `${kind} ${name}`;
}
