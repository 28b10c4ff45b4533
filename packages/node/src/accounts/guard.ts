import type { QuotaBounds, QuotaVerdict } from "@radishreel/fleet";
import { type Account, type AccountTable, readCost, type Route } from "@radishreel/routing";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import { processTimers, type Timers } from "../clock.js";
import type { ClusterState } from "../knowledge/cluster.js";
import type { PeerMessage } from "../links/messages.js";
import type { CallerDemand, CallerIdentity, CallerKey } from "../ports.js";
import type { OwnAnswer, RefusalReason } from "../requests/caller.js";
import { type ConfirmationMessage, Confirmations } from "./confirmations.js";
import { type QuotaClaim, type QuotaMessage, Quotas } from "./quotas.js";

/**
 * Part of the time in which a withdrawn key must be refused that is left for the way from here to an upstream, in
 * milliseconds: links and queues of connections take some 10 ms, a busy processor 0.2 s.
 */
const sendMarginMs = 300;

/** How soon a caller may come back where too little is known, in seconds: a new reader or coordinator is found in 1 s. */
const unsureRetrySeconds = 0.5;

/** Digits of a key's digest in the log. */
const digestDigits = 8;

/** What the operator asks of accounts. */
export interface AccountBounds {
    /** Whether a key that has been withdrawn is refused in time also by VMs that cannot hear of it. */
    readonly isRevocationStrict: boolean;
    /** Time in which a withdrawn key is refused, in milliseconds. */
    readonly revocationMs: number;
    /** Time in which a configuration is in force, in milliseconds. */
    readonly configurationMs: number;
    readonly quota: QuotaBounds;
}

/** What a request is judged by. */
export interface AccountRequest {
    readonly route: Route;
    readonly demand: CallerDemand;
    /** Upstreams that may have run it. */
    readonly runs: number;
}

/** Why a request is refused for what is known of its account. */
type AccountReason = Extract<RefusalReason, "unknownKey" | "configurationOld" | "quotaSpent" | "quotaUnknown">;

/** What became of a request, as it is counted. */
export type AccountVerdict = "admitted" | AccountReason;

/** What a caller is told whose request is refused for that. */
type AccountRefusal = OwnAnswer & { readonly reason: AccountReason; };

/** Messages about accounts. */
export type AccountMessage = ConfirmationMessage | QuotaMessage;

/** Options of {@link AccountGuard}. */
export interface AccountGuardOptions {
    readonly vm: string;
    readonly bounds: AccountBounds;
    readonly cluster: ClusterState;
    /** Time that goes on while the VM is suspended, in milliseconds. */
    readonly readBoot: () => number;
    /** Whether this VM reads the store by itself. */
    readonly isReading: () => boolean;
    /** VMs that may know whether the configuration is the newest, best first. */
    readonly listConfirmers: () => string[];
    /** VMs that can coordinate quotas, as far as this VM knows. */
    readonly listCoordinators: () => string[];
    /** VMs that exist, as far as is known, this one included. */
    readonly countVms: () => number;
    /** Sends to another VM. @returns Whether it could be sent. */
    readonly send: (vm: string, message: PeerMessage) => boolean;
    /** A request was let in, or refused for a reason; its account is undefined if it is not known. */
    readonly onVerdict: (account: string | undefined, verdict: AccountVerdict) => void;
    /** @default timers of this process */
    readonly timers?: Timers;
}

/** Lets in requests of known accounts within their quotas, and none on a key that may have been withdrawn. */
export class AccountGuard {
    private readonly confirmations: Confirmations;
    private readonly quotas: Quotas;

    constructor(private readonly options: AccountGuardOptions) {
        const { vm, bounds, cluster, readBoot, isReading, listConfirmers, listCoordinators, countVms, send } = options;
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
        this.quotas = new Quotas({
            vm,
            bounds: bounds.quota,
            readBoot,
            timers,
            listCandidates: listCoordinators,
            countVms,
            isNeeded: () => this.accounts?.hasQuotas === true,
            findLimit: account => this.accounts?.findByName(account)?.quota,
            send,
        });
    }

    /** Time since the configuration in force was known to be the newest, in milliseconds; infinite before that. */
    get configurationAgeMs(): number {
        return this.confirmations.readAgeMs();
    }

    /** The store has confirmed that the configuration in force is the newest. @param asOf In boot time. */
    recordConfirmed(asOf: number): void {
        this.confirmations.recordConfirmed(asOf);
    }

    /** Keeps what is known of accounts up to date. Called some times a second. */
    update(): void {
        this.confirmations.update();
        this.quotas.update();
        this.quotas.expireOld();
    }

    receiveMessage(vm: string, message: AccountMessage): void {
        if (message.type === "confirmQuery" || message.type === "confirmation") {
            this.confirmations.receiveMessage(vm, message);
        }
        else {
            this.quotas.receiveMessage(vm, message);
        }
    }

    removeVm(vm: string): void {
        this.quotas.removeVm(vm);
    }

    /** Finds out whose request it is. A key that is not known may be newer than this VM's configuration: it asks another VM. */
    async resolveAccount(route: Route, demand: CallerDemand): Promise<Result<Account | undefined, OwnAnswer>> {
        if (this.isKeyed(route) && demand.key?.kind === "key" && this.findAccount(demand.key) === undefined) {
            await this.confirmations.askOthers();
        }
        const refusal = this.findRefusal({ route, demand, runs: 0 });
        if (refusal !== undefined) {
            this.options.onVerdict(undefined, refusal.reason);
            return err(refusal);
        }
        return ok(this.isKeyed(route) ? this.findAccount(demand.key) : undefined);
    }

    /** Whose request it is by the configuration in force, as upstreams are told. */
    findIdentity({ route, demand }: AccountRequest): CallerIdentity | undefined {
        if (this.accounts === undefined) {
            return undefined;
        }
        const account = this.isKeyed(route) ? this.findAccount(demand.key) : undefined;
        return { account: account?.name };
    }

    /** Whether a request's key is still the one of this account: keys also move from one account to another. */
    hasIdentity(request: AccountRequest, identity: CallerIdentity | undefined): boolean {
        return this.findIdentity(request)?.account === identity?.account;
    }

    /**
     * What a caller is told whose request may not run: its key is none of the configuration in force, or this VM cannot tell
     * whether it still is. Asked again before each send, since keys are withdrawn and knowledge grows old while requests wait.
     */
    findRefusal(request: AccountRequest): AccountRefusal | undefined {
        const { route, demand, runs } = request;
        if (!this.isKeyed(route)) {
            return undefined;
        }
        const { bounds } = this.options;
        const ageMs = this.configurationAgeMs;
        const account = this.findAccount(demand.key);
        const isOld = bounds.isRevocationStrict && ageMs > bounds.revocationMs - sendMarginMs;
        if (account !== undefined && !isOld) {
            return undefined;
        }
        const detail = { account: account?.name, key: formatKey(demand.key), configurationAgeMs: Math.round(ageMs) };
        if (account === undefined && ageMs <= bounds.configurationMs) {
            return { status: 401, reason: "unknownKey", detail };
        }
        if (runs > 0) {
            return { status: 502, reason: "configurationOld", detail };
        }
        return { status: 503, reason: "configurationOld", retryAfterSeconds: unsureRetrySeconds, detail };
    }

    /** What a request takes of its account's quota; undefined if there is none. */
    createClaim(account: Account | undefined, demand: CallerDemand): QuotaClaim | undefined {
        if (account?.quota === undefined) {
            return undefined;
        }
        const { perSecond, burst } = account.quota;
        return { account: account.name, limit: { perSecond, burst }, cost: readCost(account.quota, demand.tokens) };
    }

    /** Claims a request's cost. @returns What its caller is told if it is not granted. */
    async claimQuota(claim: QuotaClaim | undefined): Promise<OwnAnswer | undefined> {
        if (claim === undefined) {
            return undefined;
        }
        const verdict = await this.quotas.claim(claim);
        const refusal = createQuotaRefusal(claim, verdict);
        this.options.onVerdict(claim.account, refusal?.reason ?? "admitted");
        return refusal;
    }

    /** Gives back what a request was granted that has not run. */
    releaseQuota(claim: QuotaClaim | undefined): void {
        if (claim !== undefined) {
            this.quotas.release(claim);
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

function createQuotaRefusal(claim: QuotaClaim, verdict: QuotaVerdict): AccountRefusal | undefined {
    if (verdict.kind === "granted") {
        return undefined;
    }
    const { account, cost } = claim;
    if (verdict.kind === "unsure") {
        const detail = { account, cost };
        return { status: 503, reason: "quotaUnknown", retryAfterSeconds: unsureRetrySeconds, detail };
    }
    const detail = { account, cost, balance: Math.round(verdict.balance), ...claim.limit };
    const retryAfterSeconds = verdict.waitMs === undefined ? undefined : verdict.waitMs / 1000;
    return { status: 429, reason: "quotaSpent", detail, ...(retryAfterSeconds !== undefined && { retryAfterSeconds }) };
}

/** Names a key in the log: nobody can send a request with it. */
function formatKey(key: CallerKey | undefined): string {
    if (key?.kind !== "key") {
        return key?.kind ?? "missing";
    }
    return createHash("sha256").update(key.key).digest("hex").slice(0, digestDigits);
}
