import type { AccountUsage } from "../scheduling/accountusage.js";
import { DecayingAmount } from "./decayingamount.js";
import { maxReportedAccounts, type UsageReport } from "./report.js";
import type { AccountStarts } from "./usage.js";

/** Half-life of usage, in milliseconds: an account receives its share within about this time. */
const halfLifeMs = 1000;

/**
 * Half-life of recent starts, in milliseconds. Their average age is then 180 ms, which is the average age of what other
 * owners have started and not reported yet: half of the interval of reports (250 ms), and the transit time.
 */
const recentHalfLifeMs = 125;

/** How long after the last request waited an owner still reports, in milliseconds. */
const reportAfterWaitMs = 1000;

/** Accounts with less usage than this are removed, in tokens. */
const minUsage = 1;

/** Maximum number of accounts with usage, for the own starts and for reports alike. */
const maxAccounts = 4096;

/** Share of the accounts that is removed when there are too many: those with the least usage. */
const removedShare = 0.25;

/** Maximum cost of one request, in tokens: output that fills the KV memory of an engine (some 200,000 tokens). */
const maxRequestTokens = 2_000_000;

/**
 * Maximum decayed usage that one owner may report for each of its engines, in tokens. An engine that reads 39 prompt
 * tokens per millisecond and runs 64 requests at steps of 5.5 ms reaches some 225,000, and starts up to 205,000 more at
 * once when it was empty. The bound limits how long a wrong report distorts the shares: usage decays from this value to
 * the usual one within some 2 s.
 */
const maxEngineUsage = 500_000;

/** Usage of an account by starts on engines of this owner, in tokens. */
interface OwnUsage {
    readonly total: DecayingAmount;
    /** Starts of the last moments only. */
    readonly recent: DecayingAmount;
    /** The part of the total that other owners have been told. */
    readonly reported: DecayingAmount;
}

/** Usage of one account. */
export interface RankedUsage {
    /** Empty for requests without an account. */
    readonly account: string;
    readonly tokens: number;
}

/** Name under which requests without an account are counted; no account has an empty name. */
const noAccount = "";

/**
 * Usage of all engines by account, as one owner of engines knows it: what it started itself, and what other owners
 * report. Both decay, so that a report of an owner that is gone, a report that was lost and one that arrived twice have
 * no effect after some seconds. Accounts without usage take no memory.
 */
export class AccountLedger implements AccountUsage, AccountStarts {
    private readonly own = new Map<string, OwnUsage>();
    private readonly others = new Map<string, DecayingAmount>();
    /** Usage reported by each owner, over all accounts. */
    private readonly reporters = new Map<string, DecayingAmount>();
    private lastWaitAt = -Infinity;

    /** Number of accounts with usage. */
    get accountCount(): number {
        return new Set([...this.own.keys(), ...this.others.keys()]).size;
    }

    /** Whether requests wait for engines of this owner, or did lately. */
    isReporting(now: number): boolean {
        return now - this.lastWaitAt <= reportAfterWaitMs;
    }

    /** Number of stored values, which is bounded. */
    get size(): number {
        return this.own.size + this.others.size + this.reporters.size;
    }

    /**
     * Reads the usage of an account. Reports are some 180 ms old, and all owners would prefer the same account until the
     * next reports arrive. So each owner assumes that the others have started requests of an account since then in the
     * same proportion to its own as before.
     */
    readUsage(account: string | undefined, now: number): number {
        const key = account ?? noAccount;
        const own = this.own.get(key);
        const others = this.others.get(key)?.read(now) ?? 0;
        const total = own?.total.read(now) ?? 0;
        if (own === undefined || total <= 0) {
            return others;
        }
        const recentShare = Math.min(1, own.recent.read(now) / total);
        return total + others * (1 + recentShare);
    }

    /** Lists the accounts with the most usage, largest first. */
    listLargest(count: number, now: number): RankedUsage[] {
        const accounts = new Set([...this.own.keys(), ...this.others.keys()]);
        return [...accounts].map(account => ({ account, tokens: Math.round(this.readUsage(account, now)) }))
            .sort((left, right) => right.tokens - left.tokens)
            .slice(0, count);
    }

    /** Counts a request that starts on an engine of this owner. */
    recordStart(account: string | undefined, tokens: number, now: number): void {
        if (!(tokens > 0)) {
            return;
        }
        const key = account ?? noAccount;
        let own = this.own.get(key);
        if (own === undefined) {
            this.evictExcess(this.own, now, ({ total }) => total.read(now));
            own = {
                total: new DecayingAmount(halfLifeMs),
                recent: new DecayingAmount(recentHalfLifeMs),
                reported: new DecayingAmount(halfLifeMs),
            };
            this.own.set(key, own);
        }
        const bounded = Math.min(tokens, maxRequestTokens);
        own.total.add(bounded, now);
        own.recent.add(bounded, now);
    }

    /**
     * Creates the report for the other owners: usage since the last report, decayed until now, of the accounts with the
     * most of it. The report is empty if nothing has waited for an engine of this owner lately: the order of requests
     * does not matter then.
     */
    createReport(hasWaiting: boolean, now: number): UsageReport {
        this.expire(now);
        if (hasWaiting) {
            this.lastWaitAt = now;
        }
        if (!this.isReporting(now)) {
            return [];
        }
        const changes: UsageReport = [];
        for (const [account, { total, reported }] of this.own) {
            const tokens = Math.floor(total.read(now) - reported.read(now));
            if (tokens >= 1) {
                changes.push([account, tokens]);
            }
        }
        const report = changes.sort(([, left], [, right]) => right - left).slice(0, maxReportedAccounts);
        for (const [account, tokens] of report) {
            this.own.get(account)!.reported.add(tokens, now);
        }
        return report;
    }

    /**
     * Adds the usage that another owner reports. Entries that are no positive whole number are left out, and the rest is
     * reduced in proportion if it exceeds what the engines of that owner can do. Owners send no empty reports.
     * @param engines Number of engines that the sender is known to own.
     * @returns Whether the report was plausible as a whole.
     */
    receiveReport(owner: string, report: UsageReport, engines: number, now: number): boolean {
        const entries = report.slice(0, maxReportedAccounts).filter(([, tokens]) => isTokenCount(tokens));
        const sum = entries.reduce((tokens, [, added]) => tokens + added, 0);
        if (sum === 0) {
            return false;
        }
        const reporter = this.findReporter(owner, now);
        const room = Math.max(0, maxEngineUsage * Math.max(1, engines) - reporter.read(now));
        const scale = Math.min(1, room / sum);
        reporter.add(sum * scale, now);
        for (const [account, tokens] of entries) {
            this.addReported(account, tokens * scale, now);
        }
        return scale === 1 && entries.length === report.length;
    }

    /** Removes accounts and owners whose usage has decayed. */
    expire(now: number): void {
        for (const [account, { total }] of this.own) {
            if (total.read(now) < minUsage) {
                this.own.delete(account);
            }
        }
        for (const amounts of [this.others, this.reporters]) {
            for (const [name, amount] of amounts) {
                if (amount.read(now) < minUsage) {
                    amounts.delete(name);
                }
            }
        }
    }

    private findReporter(owner: string, now: number): DecayingAmount {
        const found = this.reporters.get(owner);
        if (found !== undefined) {
            return found;
        }
        this.evictExcess(this.reporters, now, amount => amount.read(now));
        const reporter = new DecayingAmount(halfLifeMs);
        this.reporters.set(owner, reporter);
        return reporter;
    }

    private addReported(account: string, tokens: number, now: number): void {
        let amount = this.others.get(account);
        if (amount === undefined) {
            this.evictExcess(this.others, now, other => other.read(now));
            amount = new DecayingAmount(halfLifeMs);
            this.others.set(account, amount);
        }
        amount.add(tokens, now);
    }

    /** Makes room for one more entry: removes decayed entries, and if that is not enough those with the least usage. */
    private evictExcess<Value>(entries: Map<string, Value>, now: number, readAmount: (value: Value) => number): void {
        if (entries.size < maxAccounts) {
            return;
        }
        this.expire(now);
        if (entries.size < maxAccounts) {
            return;
        }
        const smallest = [...entries].sort(([, left], [, right]) => readAmount(left) - readAmount(right))
            .slice(0, maxAccounts * removedShare);
        for (const [name] of smallest) {
            entries.delete(name);
        }
    }
}

function isTokenCount(tokens: number): boolean {
    return Number.isSafeInteger(tokens) && tokens > 0;
}
