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
import { askAgainSeconds, type CallerAnswer } from "./caller.js";
import { type CallerRequest, requestTokenHeader } from "./request.js";

/** Options of {@link TokenDesk}. */
export interface TokenDeskOptions {
    readonly secret: string;
    /** This gateway's incarnation. */
    readonly issuer: string;
    /** This gateway's listener for peers. */
    readonly address: string;
    readonly lifeMs: number;
    /** Passes a request on to another gateway and answers the caller with what comes back. */
    readonly forward: (address: string, request: CallerRequest, answer: CallerAnswer) => Promise<Verdict>;
}

/** Largest number of tokens issued at once. */
export const maxTokensAtOnce = 1000;

/** Largest answer that is kept for a caller that lost it, in bytes. */
export const keptAnswerBytes = 64 * 1024;

/**
 * Sees to it that a request with a token runs at most once: in the gateway that issued the token, or in the heir of
 * its ledger, and nowhere else. See docs/design/at-most-once.md.
 */
export class TokenDesk {
    private readonly issuer: TokenIssuer;
    private readonly ledgers = new Map<string, TokenLedger>();
    private readonly heirs = new Map<string, { address: string; until: number; }>();
    private isSealed = false;

    constructor(private readonly options: TokenDeskOptions) {
        const { secret, issuer, address, lifeMs } = options;
        this.issuer = new TokenIssuer({ secret, issuer, address, lifeMs });
        this.ledgers.set(issuer, new TokenLedger({ issuer }));
    }

    createTokens(customer: string, count: number): { tokens: string[]; expiresAt: number; } {
        return this.issuer.createTokens(customer, count, Date.now());
    }

    /** Runs a request at most once. The answer is finished when this settles. */
    async runOnce(request: CallerRequest, answer: CallerAnswer, run: () => Promise<Verdict>): Promise<Verdict> {
        const text = request.headers[requestTokenHeader];
        const parsed = parseToken(this.options.secret, typeof text === "string" ? text : "");
        if (parsed.isErr()) {
            return answer.sendFailure(parsed.error);
        }
        const token = parsed.value;
        if (token.customer !== request.customer.name) {
            return answer.sendFailure(
                createRefused("requestTokenOfAnother", "the request token was issued to another customer"),
            );
        }
        const ledger = this.isSealed ? undefined : this.ledgers.get(token.issuer);
        return ledger === undefined
            ? this.forward(token, request, answer)
            : this.claim(ledger, token, request, answer, run);
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

    /** Ends every ledger here and returns them for an heir. Nothing may run any more. */
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
        answer: CallerAnswer,
        run: () => Promise<Verdict>,
    ): Promise<Verdict> {
        const claim = ledger.claim(token.sequence, createDigest(request), token.expiresAt, Date.now());
        switch (claim.kind) {
            case "mismatch":
                return answer.sendFailure(
                    createRefused("requestTokenMismatch", "the request token was used for another request"),
                );
            case "expired":
                return answer.sendFailure(createMayHaveRun("requestTokenExpired", "the request token has expired"));
            case "inUse": {
                const detail = "the request is running; show the token again for its answer";
                return answer.sendFailure(createMayHaveRun("requestTokenInUse", detail, askAgainSeconds));
            }
            case "spent":
                return sendOutcome(claim.outcome, answer);
            case "granted": {
                const verdict = await run();
                recordVerdict(ledger, token, verdict, answer);
                answer.finish(verdict);
                return verdict;
            }
        }
    }

    private async forward(token: RequestToken, request: CallerRequest, answer: CallerAnswer): Promise<Verdict> {
        const heir = this.heirs.get(token.issuer);
        if (request.isForwarded && heir === undefined) {
            return answer.sendFailure(
                createMayHaveRun("issuerGone", "the gateway that issued the request token is gone"),
            );
        }
        if (request.isForwarded && heir?.address === this.options.address) {
            return answer.sendFailure(createMayHaveRun("issuerGone", "the heir of the request token has stopped"));
        }
        return this.options.forward(heir?.address ?? token.address, request, answer);
    }
}

/** The request as the caller made it, so that a token serves no other. */
function createDigest(request: CallerRequest): string {
    return createHash("sha256").update(JSON.stringify([request.method, request.path])).update(request.body).digest(
        "base64url",
    );
}

function recordVerdict(ledger: TokenLedger, token: RequestToken, verdict: Verdict, answer: CallerAnswer): void {
    switch (verdict.kind) {
        case "complete":
            ledger.recordOutcome(token.sequence, { kind: "complete", answer: answer.readCaptured() });
            return;
        case "mayHaveRun":
            ledger.recordOutcome(token.sequence, { kind: "mayHaveRun", verdict });
            return;
        case "notRun":
        case "refused":
            ledger.release(token.sequence);
    }
}

/** Answers with the outcome of the one run. */
function sendOutcome(outcome: TokenOutcome, answer: CallerAnswer): Verdict {
    if (outcome.kind === "mayHaveRun") {
        return answer.sendFailure(outcome.verdict);
    }
    if (outcome.answer === undefined) {
        return answer.sendFailure(
            createMayHaveRun("requestTokenSpent", "the request has run; its answer was too large to keep"),
        );
    }
    const { status, contentType, body } = outcome.answer;
    answer.send(status, contentType, Buffer.from(body));
    return { kind: "complete" };
}
