import type { QuotaBounds, QuotaLimit, QuotaVerdict } from "@radishreel/fleet";
import { type Account, type AccountTable, readCost, type Route } from "@radishreel/routing";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import { processTimers, type Timers } from "../clock.js";
import type { ClusterState } from "../knowledge/cluster.js";
import type { PeerMessage } from "../links/messages.js";
import type { CallerDemand, CallerIdentity, CallerKey } from "../ports.js";
import { formatAccountKey, type QuotaClaim, type Quotas } from "../quotas/index.js";
import type { RefusalReason, RefusalResponse } from "../requests/refusal.js";
import { type ConfirmationMessage, Confirmations } from "./confirmations.js";

/**
 * Part of the revocation time that is reserved for the way of a request from this check to an upstream, in
 * milliseconds: links and connection queues take about 10 ms, a busy processor 0.2 s.
 */
const sendMarginMs = 300;

/** `Retry-After` while the account state is unknown, in seconds: a new reader or coordinator is found within 1 s. */
const unknownStateRetrySeconds = 0.5;

/** Number of hexadecimal digits of a key's digest in the log. */
const digestDigits = 8;

/** Limits that the operator sets for client accounts. */
export interface AccountBounds {
    /** Whether VMs that cannot learn of revocations also refuse a revoked key in time. */
    readonly isRevocationStrict: boolean;
    /** Time within which a revoked key is refused, in milliseconds. */
    readonly revocationMs: number;
    /** Time within which a new configuration is in force on all VMs, in milliseconds. */
    readonly configurationMs: number;
    readonly quota: QuotaBounds;
}

/** The properties of a request that decide about its admission. */
export interface AccountRequest {
    readonly route: Route;
    readonly demand: CallerDemand;
    /** Number of upstreams that may have run the request. */
    readonly runs: number;
}

/** Why a request is refused because of its account. */
type AccountReason = Extract<RefusalReason, "unknownKey" | "configurationOld" | "quotaSpent" | "quotaUnknown">;

/** Outcome of a request's account check, as the metrics count it. */
export type AccountVerdict = "admitted" | AccountReason;

/** Response to a request that is refused because of its account. */
type AccountRefusal = RefusalResponse & { readonly reason: AccountReason; };

/** A claim on the quota of a client account. */
export interface AccountClaim extends QuotaClaim {
    readonly account: string;
}

/** Options of {@link AccountGuard}. */
export interface AccountGuardOptions {
    readonly bounds: AccountBounds;
    readonly cluster: ClusterState;
    /** Clock that also counts while the VM is suspended, in milliseconds. */
    readonly readBoot: () => number;
    /** Whether this VM reads the store itself. */
    readonly isReading: () => boolean;
    /** VMs that can confirm that the configuration is the newest, best first. */
    readonly listConfirmers: () => string[];
    readonly quotas: Quotas;
    /** Sends a message to another VM. @returns Whether the message could be sent. */
    readonly send: (vm: string, message: PeerMessage) => boolean;
    /** Called when a request was admitted, or refused for a reason; the account is undefined if it is unknown. */
    readonly onVerdict: (account: string | undefined, verdict: AccountVerdict) => void;
    /** @default timers of this process */
    readonly timers?: Timers;
}

/** Admits requests of known accounts within their quotas, and refuses requests whose key may have been revoked. */
export class AccountGuard {
    private readonly confirmations: Confirmations;

    constructor(private readonly options: AccountGuardOptions) {
        const { cluster, readBoot, isReading, listConfirmers, send } = options;
        const { timers = processTimers } = options;
        this.confirmations = new Confirmations({
            readBoot,
            timers,
            findRouting: () => cluster.findRouting(),
            listOperatorChanges: position => cluster.listOperatorChangesAfter(position),
            isNeeded: () => this.accounts !== undefined,
            isReading,
            listSources: listConfirmers,
            send,
        });
    }

    /** Whether any account has a quota. */
    get hasQuotas(): boolean {
        return this.accounts?.hasQuotas === true;
    }

    /** Finds an account's quota by the configuration in force. */
    findQuota(account: string): QuotaLimit | undefined {
        return this.accounts?.findByName(account)?.quota;
    }

    /** Time since the configuration in force was last known to be the newest, in milliseconds; infinite before that. */
    get configurationAgeMs(): number {
        return this.confirmations.readAgeMs();
    }

    /** Records that the store confirmed the configuration in force as the newest. @param asOf In boot time. */
    recordConfirmed(asOf: number): void {
        this.confirmations.recordConfirmed(asOf);
    }

    /** Renews confirmations. Called several times a second. */
    update(): void {
        this.confirmations.update();
    }

    receiveMessage(vm: string, message: ConfirmationMessage): void {
        this.confirmations.receiveMessage(vm, message);
    }

    /** Resolves a request's account. Queries other VMs for an unknown key, since it may be a new one. */
    async resolveAccount(route: Route, demand: CallerDemand): Promise<Result<Account | undefined, RefusalResponse>> {
        if (this.isKeyed(route) && demand.key?.kind === "key" && this.findAccount(demand.key) === undefined) {
            await this.confirmations.askPeers();
        }
        const refusal = this.findRefusal({ route, demand, runs: 0 });
        if (refusal !== undefined) {
            this.options.onVerdict(undefined, refusal.reason);
            return err(refusal);
        }
        return ok(this.isKeyed(route) ? this.findAccount(demand.key) : undefined);
    }

    /** Identity of the caller by the configuration in force, as it is sent to upstreams. */
    findIdentity({ route, demand }: AccountRequest): CallerIdentity | undefined {
        if (this.accounts === undefined) {
            return undefined;
        }
        const account = this.isKeyed(route) ? this.findAccount(demand.key) : undefined;
        return { account: account?.name };
    }

    /** Whether a request's key still belongs to this account: keys can move from one account to another. */
    hasIdentity(request: AccountRequest, identity: CallerIdentity | undefined): boolean {
        return this.findIdentity(request)?.account === identity?.account;
    }

    /**
     * Finds the response to a request that may not run: its key is not in the configuration in force, or this VM cannot
     * tell whether the key is still valid. Checked again before each send, since keys are revoked and the configuration
     * ages while requests wait.
     */
    findRefusal(request: AccountRequest): AccountRefusal | undefined {
        const { route, demand, runs } = request;
        if (!this.isKeyed(route)) {
            return undefined;
        }
        const { bounds } = this.options;
        const ageMs = this.configurationAgeMs;
        const account = this.findAccount(demand.key);
        const isStale = bounds.isRevocationStrict && ageMs > bounds.revocationMs - sendMarginMs;
        if (account !== undefined && !isStale) {
            return undefined;
        }
        const detail = { account: account?.name, key: formatKey(demand.key), configurationAgeMs: Math.round(ageMs) };
        if (account === undefined && ageMs <= bounds.configurationMs) {
            return { status: 401, reason: "unknownKey", detail };
        }
        if (runs > 0) {
            return { status: 502, reason: "configurationOld", detail };
        }
        return { status: 503, reason: "configurationOld", retryAfterSeconds: unknownStateRetrySeconds, detail };
    }

    /** Creates the claim of a request on its account's quota; undefined if the account has no quota. */
    createClaim(account: Account | undefined, demand: CallerDemand): AccountClaim | undefined {
        if (account?.quota === undefined) {
            return undefined;
        }
        const { perSecond, burst } = account.quota;
        const key = formatAccountKey(account.name);
        return {
            account: account.name,
            key,
            limit: { perSecond, burst },
            cost: readCost(account.quota, demand.tokens),
        };
    }

    /** Claims a request's cost. @returns The response to the caller if the cost is not granted. */
    async claimQuota(claim: AccountClaim | undefined): Promise<RefusalResponse | undefined> {
        if (claim === undefined) {
            return undefined;
        }
        const verdict = await this.options.quotas.claim(claim);
        const refusal = createQuotaRefusal(claim, verdict);
        this.options.onVerdict(claim.account, refusal?.reason ?? "admitted");
        return refusal;
    }

    /** Returns the granted cost of a request that did not run. */
    releaseQuota(claim: AccountClaim | undefined): void {
        if (claim !== undefined) {
            this.options.quotas.release(claim);
        }
    }

    private get accounts(): AccountTable | undefined {
        return this.options.cluster.routes?.accounts;
    }

    private isKeyed(route: Route): boolean {
        return this.accounts !== undefined && route.isPublic !== true;
    }

    private findAccount(key: CallerKey | undefined): Account | undefined {
        return key?.kind === "key" ? this.accounts?.findByKey(key.key) : undefined;
    }
}

function createQuotaRefusal(claim: AccountClaim, verdict: QuotaVerdict): AccountRefusal | undefined {
    if (verdict.kind === "granted") {
        return undefined;
    }
    const { account, cost } = claim;
    if (verdict.kind === "unsure" || verdict.kind === "queued") {
        const detail = { account, cost };
        return { status: 503, reason: "quotaUnknown", retryAfterSeconds: unknownStateRetrySeconds, detail };
    }
    const detail = { account, cost, balance: Math.round(verdict.balance), ...claim.limit };
    const retryAfterSeconds = verdict.waitMs === undefined ? undefined : verdict.waitMs / 1000;
    return { status: 429, reason: "quotaSpent", detail, ...(retryAfterSeconds !== undefined && { retryAfterSeconds }) };
}

/** Formats a key for the log as a part of its digest, with which nobody can send a request. */
function formatKey(key: CallerKey | undefined): string {
    if (key?.kind !== "key") {
        return key?.kind ?? "missing";
    }
    return createHash("sha256").update(key.key).digest("hex").slice(0, digestDigits);
}
