import * as z from "zod";

/** Longest key, in characters: a caller's headers may hold 16 KB in all. */
const maxKeyLength = 1024;

/** Longest name of an account, in characters. */
const maxNameLength = 256;

/** What a quota counts. */
export const quotaUnitSchema = z.enum(["requests", "tokens"]);

/** See {@link quotaUnitSchema}. */
export type QuotaUnit = z.infer<typeof quotaUnitSchema>;

/** How much an account may use, over all VMs together. */
export const quotaSchema = z.object({
    unit: quotaUnitSchema,
    perSecond: z.number().positive(),
    /** What may be used at once beyond that. */
    burst: z.number().nonnegative(),
    /** Cost of a request that tells no tokens, where tokens are counted. */
    usualTokens: z.number().nonnegative(),
});

/** See {@link quotaSchema}. */
export type Quota = z.infer<typeof quotaSchema>;

/** A client account: its keys, and what its callers may use. */
export const accountSchema = z.object({
    /** Sent to upstreams in a header. */
    name: z.string().max(maxNameLength).regex(/^[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?$/, "expected printable ASCII"),
    keys: z.array(z.string().min(1).max(maxKeyLength)),
    /** 0 is the most urgent; it goes before the priority of a route. Undefined leaves that alone. */
    priority: z.number().int().nonnegative().optional(),
    /** Undefined if there is no limit. */
    quota: quotaSchema.optional(),
});

/** See {@link accountSchema}. */
export type Account = z.infer<typeof accountSchema>;

/** All accounts of a configuration: no name twice, and no key twice. */
export const accountsSchema = z.array(accountSchema).superRefine((accounts, context) => {
    const names = new Set<string>();
    const holders = new Map<string, string>();
    for (const [index, { name, keys }] of accounts.entries()) {
        if (names.has(name)) {
            context.addIssue({ code: "custom", path: [index, "name"], message: `account ${name} stands there twice` });
        }
        names.add(name);
        for (const [keyIndex, key] of keys.entries()) {
            const holder = holders.get(key);
            if (holder !== undefined) {
                // The key itself must not reach a log.
                const message = `a key of account ${name} is also one of ${holder}`;
                context.addIssue({ code: "custom", path: [index, "keys", keyIndex], message });
            }
            holders.set(key, name);
        }
    }
});

/** Finds the account that holds a key, in a time that does not grow with the accounts. */
export class AccountTable {
    private readonly accountsByKey = new Map<string, Account>();
    private readonly accountsByName = new Map<string, Account>();
    /** Whether any account has a limit. */
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

/** Routes' priorities that are told apart below the priority of an account. */
const routePriorities = 3;

/** Least urgent of all. */
const maxPriority = 9;

/**
 * Urgency of a request, 0 is first: its account's goes before its route's.
 * @param accountPriority Undefined if there is no account, or it has none.
 */
export function readPriority(routePriority: number, accountPriority: number | undefined): number {
    if (accountPriority === undefined) {
        return Math.min(maxPriority, routePriority);
    }
    return Math.min(maxPriority, accountPriority * routePriorities + Math.min(routePriority, routePriorities - 1));
}

/** What a request counts against a quota. @param tokens Those that it tells; undefined if it tells none. */
export function readCost(quota: Quota, tokens: number | undefined): number {
    if (quota.unit === "requests") {
        return 1;
    }
    return tokens ?? quota.usualTokens;
}
