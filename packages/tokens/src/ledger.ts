import type { LedgerRecord, TokenOutcome } from "./record.js";

/** What a caller who shows a token may do. */
export type TokenClaim =
    /** The request may be dispatched, now and never again unless it is proved not to have run. */
    | { readonly kind: "granted"; }
    | { readonly kind: "inUse"; }
    | { readonly kind: "spent"; readonly outcome: TokenOutcome; }
    /** The token was used for another request. */
    | { readonly kind: "mismatch"; }
    | { readonly kind: "expired"; };

interface LedgerEntry {
    readonly digest: string;
    readonly expiresAt: number;
    outcome: TokenOutcome | undefined;
}

/** Options of {@link TokenLedger}. */
export interface TokenLedgerOptions {
    readonly issuer: string;
    /** Largest answer that is kept, in bytes. @default 65536 */
    readonly maxAnswerBytes?: number;
    /** Most bytes of answers that are kept; the oldest are let go first. @default 16777216 */
    readonly maxKeptBytes?: number;
}

/** Greatest difference between the clocks of a gateway and its heir, in milliseconds. */
export const maxClockSkewMs = 600_000;

const defaultMaxAnswerBytes = 64 * 1024;
const defaultMaxKeptBytes = 16 * 1024 * 1024;

/**
 * What became of the tokens of one issuer. There is one ledger for each issuer at any time: in the gateway that issued
 * them, or in the one heir to which a stopping gateway handed it. See docs/design/at-most-once.md.
 */
export class TokenLedger {
    readonly issuer: string;
    private readonly entries = new Map<number, LedgerEntry>();
    private readonly maxAnswerBytes: number;
    private readonly maxKeptBytes: number;
    private keptBytes = 0;
    private isSealed = false;

    constructor(options: TokenLedgerOptions) {
        this.issuer = options.issuer;
        this.maxAnswerBytes = options.maxAnswerBytes ?? defaultMaxAnswerBytes;
        this.maxKeptBytes = options.maxKeptBytes ?? defaultMaxKeptBytes;
    }

    get size(): number {
        return this.entries.size;
    }

    /**
     * Claims the one run of a token.
     * @param digest Digest of the request, so that a token serves one request only.
     */
    claim(sequence: number, digest: string, expiresAt: number, now: number): TokenClaim {
        const entry = this.entries.get(sequence);
        if (entry !== undefined) {
            return readClaim(entry, digest);
        }
        if (this.isSealed || now >= expiresAt) {
            // A token used before its expiry may be forgotten after it, so that this says nothing about running.
            return { kind: "expired" };
        }
        this.entries.set(sequence, { digest, expiresAt, outcome: undefined });
        return { kind: "granted" };
    }

    /** Gives a claim back: its request was proved not to have run, and the caller may show the token again. */
    release(sequence: number): void {
        this.entries.delete(sequence);
    }

    /** Records how the run ended. */
    recordOutcome(sequence: number, outcome: TokenOutcome): void {
        const entry = this.entries.get(sequence);
        if (entry === undefined) {
            return;
        }
        entry.outcome = this.resolveOutcome(outcome);
        this.removeOldAnswers();
    }

    /** Forgets what has expired, later than any gateway whose clock is behind could still take its token. */
    expire(now: number): void {
        for (const [sequence, entry] of this.entries) {
            if (now >= entry.expiresAt + maxClockSkewMs && entry.outcome !== undefined) {
                this.keptBytes -= readAnswerBytes(entry.outcome);
                this.entries.delete(sequence);
            }
        }
    }

    /** Ends this ledger for good and returns what its heir needs. Nothing runs any more when it is called. */
    seal(until: number): LedgerRecord {
        this.isSealed = true;
        const entries = [...this.entries].map(([sequence, { digest, expiresAt, outcome }]) => ({
            sequence,
            digest,
            expiresAt,
            outcome: outcome ?? unknownOutcome,
        }));
        return { issuer: this.issuer, until, entries };
    }

    /** Takes over the ledger of an issuer that has stopped. */
    adopt(record: LedgerRecord): void {
        for (const { sequence, digest, expiresAt, outcome } of record.entries) {
            this.entries.set(sequence, { digest, expiresAt, outcome: this.resolveOutcome(outcome) });
        }
        this.removeOldAnswers();
    }

    private resolveOutcome(outcome: TokenOutcome): TokenOutcome {
        const bytes = readAnswerBytes(outcome);
        if (outcome.kind === "complete" && bytes > this.maxAnswerBytes) {
            return { kind: "complete", answer: undefined };
        }
        this.keptBytes += bytes;
        return outcome;
    }

    private removeOldAnswers(): void {
        for (const entry of this.entries.values()) {
            if (this.keptBytes <= this.maxKeptBytes) {
                return;
            }
            if (entry.outcome?.kind === "complete" && entry.outcome.answer !== undefined) {
                this.keptBytes -= readAnswerBytes(entry.outcome);
                entry.outcome = { kind: "complete", answer: undefined };
            }
        }
    }
}

const unknownOutcome: TokenOutcome = {
    kind: "mayHaveRun",
    verdict: { kind: "mayHaveRun", reason: "issuerGone", detail: "the gateway stopped while the request ran" },
};

function readAnswerBytes(outcome: TokenOutcome): number {
    return outcome.kind === "complete" ? outcome.answer?.body.length ?? 0 : 0;
}

function readClaim(entry: LedgerEntry, digest: string): TokenClaim {
    if (entry.digest !== digest) {
        return { kind: "mismatch" };
    }
    return entry.outcome === undefined ? { kind: "inUse" } : { kind: "spent", outcome: entry.outcome };
}
