import * as z from "zod";

/** Longest key, in characters; a caller's headers may hold 16 KB in total. */
const maxKeyLength = 1024;

/** Longest name of an account, in characters. */
const maxNameLength = 256;

/** Unit in which a quota counts. */
export const quotaUnitSchema = z.enum(["requests", "tokens"]);

/** See {@link quotaUnitSchema}. */
export type QuotaUnit = z.infer<typeof quotaUnitSchema>;

/** Rate limit of an account, over all VMs together. */
export const quotaSchema = z.object({
    unit: quotaUnitSchema,
    perSecond: z.number().positive(),
    /** Units that may be used at once beyond that rate. */
    burst: z.number().nonnegative(),
    /** Cost of a request without a token count, if `unit` is tokens. */
    usualTokens: z.number().nonnegative(),
});

/** See {@link quotaSchema}. */
export type Quota = z.infer<typeof quotaSchema>;

/** A client account: its keys, its priority and its quota. */
export const accountSchema = z.object({
    /** Upstreams receive the name in a header. */
    name: z.string().max(maxNameLength).regex(/^[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?$/, "expected printable ASCII"),
    keys: z.array(z.string().min(1).max(maxKeyLength)),
    /**
     * 0 is the most urgent. Takes precedence over the priority of a route; if undefined, the route's priority applies.
     */
    priority: z.number().int().nonnegative().optional(),
    /** Undefined if the account has no limit. */
    quota: quotaSchema.optional(),
});

/** See {@link accountSchema}. */
export type Account = z.infer<typeof accountSchema>;

/** All accounts of a configuration; names and keys must be unique. */
export const accountsSchema = z.array(accountSchema).superRefine((accounts, context) => {
    const names = new Set<string>();
    const holders = new Map<string, string>();
    for (const [index, { name, keys }] of accounts.entries()) {
        if (names.has(name)) {
            context.addIssue({ code: "custom", path: [index, "name"], message: `account ${name} is defined twice` });
        }
        names.add(name);
        for (const [keyIndex, key] of keys.entries()) {
            const holder = holders.get(key);
            if (holder !== undefined) {
                // The message is logged, so it must not contain the key.
                const message = `a key of account ${name} is also a key of account ${holder}`;
                context.addIssue({ code: "custom", path: [index, "keys", keyIndex], message });
            }
            holders.set(key, name);
        }
    }
});

/** Finds accounts by key or by name in constant time. */
export class AccountTable {
    private readonly accountsByKey = new Map<string, Account>();
    private readonly accountsByName = new Map<string, Account>();
    /** Whether any account has a quota. */
    readonly hasQuotas: boolean;

    constructor(accounts: readonly Account[]) {
        this.hasQuotas = accounts.some(({ quota }) => quota !== undefined);
        for (const account of accounts) {
            this.accountsByName.set(account.name, account);
            for (const key of account.keys) {
                this.accountsByKey.set(key, account);
            }
        }
    }

    findByKey(key: string): Account | undefined {
        return this.accountsByKey.get(key);
    }

    findByName(name: string): Account | undefined {
        return this.accountsByName.get(name);
    }
}

/** Number of route priorities that are distinguished within one account priority. */
const routePriorityLevels = 3;

/** Priority of the least urgent requests. */
const maxPriority = 9;

/**
 * Reads the priority of a request; 0 is the most urgent. The account's priority takes precedence over the route's.
 * @param accountPriority Undefined if the request has no account, or its account has no priority.
 */
export function readPriority(routePriority: number, accountPriority: number | undefined): number {
    if (accountPriority === undefined) {
        return Math.min(maxPriority, routePriority);
    }
    return Math.min(
        maxPriority,
        accountPriority * routePriorityLevels + Math.min(routePriority, routePriorityLevels - 1),
    );
}

/**
 * Reads what a request counts against a quota, in the quota's unit.
 * @param tokens Token count of the request; undefined if the request has none.
 */
export function readCost(quota: Quota, tokens: number | undefined): number {
    if (quota.unit === "requests") {
        return 1;
    }
    return tokens ?? quota.usualTokens;
}
