/** Recent usage of client accounts, which decides between waiting requests of equal priority. */
export interface AccountUsage {
    /** Decayed usage of an account in tokens; the account with less goes first. Undefined: no account. */
    readUsage(account: string | undefined, now: number): number;
}

/** Treats all accounts alike. */
export class NoAccountUsage implements AccountUsage {
    readUsage(): number {
        return 0;
    }
}
