import {
    type LedgerRecord,
    parseToken,
    type RequestToken,
    TokenIssuer,
    TokenLedger,
    type TokenOutcome,
} from "@radishreel/tokens";
import { createMayHaveRun, createRefused, type Verdict } from "@radishreel/verdict";
import { createHash } from "node:crypto";
import { type CallerRequest, requestTokenHeader } from "./request.js";
import { type CallerResponse, outcomeRetrySeconds } from "./response.js";

/** Options of {@link TokenRegistry}. */
export interface TokenRegistryOptions {
    readonly secret: string;
    /** This gateway's incarnation. */
    readonly issuer: string;
    /** This gateway's listener for peers. */
    readonly address: string;
    readonly lifeMs: number;
    /** Forwards a request to another gateway and forwards its response to the caller. */
    readonly forward: (address: string, request: CallerRequest, response: CallerResponse) => Promise<Verdict>;
}

/** Maximum number of tokens that one request may ask for. */
export const maxTokensPerRequest = 1000;

/** Maximum size of a response that is stored for callers that retry with the same token, in bytes. */
export const maxStoredResponseBytes = 64 * 1024;

/**
 * Issues request tokens and ensures that a request with a token runs at most once: in the gateway that issued the
 * token, or in the gateway that took over its ledger (the heir). See docs/design/at-most-once.md.
 */
export class TokenRegistry {
    private readonly issuer: TokenIssuer;
    private readonly ledgers = new Map<string, TokenLedger>();
    private readonly heirs = new Map<string, { address: string; until: number; }>();
    private isSealed = false;

    constructor(private readonly options: TokenRegistryOptions) {
        const { secret, issuer, address, lifeMs } = options;
        this.issuer = new TokenIssuer({ secret, issuer, address, lifeMs });
        this.ledgers.set(issuer, new TokenLedger({ issuer }));
    }

    createTokens(account: string, count: number): { tokens: string[]; expiresAt: number; } {
        return this.issuer.createTokens(account, count, Date.now());
    }

    /** Runs a request at most once. The response is finished when the returned promise settles. */
    async runOnce(request: CallerRequest, response: CallerResponse, run: () => Promise<Verdict>): Promise<Verdict> {
        const text = request.headers[requestTokenHeader];
        const parsed = parseToken(this.options.secret, typeof text === "string" ? text : "");
        if (parsed.isErr()) {
            return response.sendFailure(parsed.error);
        }
        const token = parsed.value;
        if (token.account !== request.account.name) {
            return response.sendFailure(
                createRefused("requestTokenOfAnother", "the request token was issued to another customer"),
            );
        }
        const ledger = this.isSealed ? undefined : this.ledgers.get(token.issuer);
        return ledger === undefined
            ? this.forward(token, request, response)
            : this.claim(ledger, token, request, response, run);
    }

    recordHeirs(heirs: readonly { issuer: string; address: string; until: number; }[]): void {
        for (const { issuer, address, until } of heirs) {
            this.heirs.set(issuer, { address, until });
        }
    }

    /** Takes over the ledger of a gateway that has stopped. */
    adopt(record: LedgerRecord): void {
        if (this.ledgers.has(record.issuer)) {
            return;
        }
        const ledger = new TokenLedger({ issuer: record.issuer });
        ledger.adopt(record);
        this.ledgers.set(record.issuer, ledger);
    }

    /** Seals every ledger and returns the records for an heir. No request with a token may run here afterwards. */
    seal(): LedgerRecord[] {
        this.isSealed = true;
        const until = Date.now() + this.issuer.lifeMs;
        return [...this.ledgers.values()].map(ledger => ledger.seal(until));
    }

    expire(): void {
        const now = Date.now();
        for (const ledger of this.ledgers.values()) {
            ledger.expire(now);
        }
        for (const [issuer, { until }] of this.heirs) {
            if (now > until) {
                this.heirs.delete(issuer);
            }
        }
    }

    private async claim(
        ledger: TokenLedger,
        token: RequestToken,
        request: CallerRequest,
        response: CallerResponse,
        run: () => Promise<Verdict>,
    ): Promise<Verdict> {
        const claim = ledger.claim(token.sequence, createDigest(request), token.expiresAt, Date.now());
        switch (claim.kind) {
            case "mismatch":
                return response.sendFailure(
                    createRefused("requestTokenMismatch", "the request token was used for another request"),
                );
            case "expired":
                return response.sendFailure(createMayHaveRun("requestTokenExpired", "the request token has expired"));
            case "inUse": {
                const detail = "the request is running; show the token again for its answer";
                return response.sendFailure(createMayHaveRun("requestTokenInUse", detail, outcomeRetrySeconds));
            }
            case "spent":
                return sendOutcome(claim.outcome, response);
            case "granted": {
                const verdict = await run();
                recordVerdict(ledger, token, verdict, response);
                response.finish(verdict);
                return verdict;
            }
        }
    }

    private async forward(token: RequestToken, request: CallerRequest, response: CallerResponse): Promise<Verdict> {
        const heir = this.heirs.get(token.issuer);
        if (request.isForwarded && heir === undefined) {
            return response.sendFailure(
                createMayHaveRun("issuerGone", "the gateway that issued the request token is gone"),
            );
        }
        if (request.isForwarded && heir?.address === this.options.address) {
            return response.sendFailure(createMayHaveRun("issuerGone", "the heir of the request token has stopped"));
        }
        return this.options.forward(heir?.address ?? token.address, request, response);
    }
}

/** Digest of method, path and body, so that a token cannot be used for a different request. */
function createDigest(request: CallerRequest): string {
    return createHash("sha256").update(JSON.stringify([request.method, request.path])).update(request.body).digest(
        "base64url",
    );
}

function recordVerdict(ledger: TokenLedger, token: RequestToken, verdict: Verdict, response: CallerResponse): void {
    switch (verdict.kind) {
        case "complete":
            ledger.recordOutcome(token.sequence, { kind: "complete", answer: response.readCaptured() });
            return;
        case "mayHaveRun":
            ledger.recordOutcome(token.sequence, { kind: "mayHaveRun", verdict });
            return;
        case "notRun":
        case "refused":
            ledger.release(token.sequence);
    }
}

/** Sends the stored outcome of a request that has already run. */
function sendOutcome(outcome: TokenOutcome, response: CallerResponse): Verdict {
    if (outcome.kind === "mayHaveRun") {
        return response.sendFailure(outcome.verdict);
    }
    if (outcome.answer === undefined) {
        return response.sendFailure(
            createMayHaveRun("requestTokenSpent", "the request has run; its answer was too large to keep"),
        );
    }
    const { status, contentType, body } = outcome.answer;
    response.send(status, contentType, Buffer.from(body));
    return { kind: "complete" };
}
