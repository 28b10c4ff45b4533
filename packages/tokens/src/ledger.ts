import type { LedgerRecord, TokenOutcome } from "./record.js";

/** Result of claiming a token. */
export type TokenClaimResult =
    /** The request may be dispatched once; again only after it is known not to have run. */
    | { readonly kind: "granted"; }
    /** The token's request is running. */
    | { readonly kind: "inUse"; }
    /** The token's request has ended. */
    | { readonly kind: "spent"; readonly outcome: TokenOutcome; }
    /** The token was claimed for another request. */
    | { readonly kind: "mismatch"; }
    /** The token has expired, or its ledger was handed over. */
    | { readonly kind: "expired"; };

interface LedgerEntry {
    readonly digest: string;
    readonly expiresAt: number;
    outcome: TokenOutcome | undefined;
}

/** Options of {@link TokenLedger}. */
export interface TokenLedgerOptions {
    readonly issuer: string;
    /** Largest response that is stored, in bytes. @default 65536 */
    readonly maxResponseBytes?: number;
    /** Total size of the stored responses, in bytes; the oldest are discarded first. @default 16777216 */
    readonly maxStoredBytes?: number;
}

/** Largest clock difference between a gateway and the handover target of its ledger, in milliseconds. */
export const maxClockSkewMs = 600_000;

const defaultMaxResponseBytes = 64 * 1024;
const defaultMaxStoredBytes = 16 * 1024 * 1024;

/**
 * Outcomes of the claimed tokens of one issuer. At any time, each issuer has one ledger: in the gateway that issued the
 * tokens, or in the handover target to which the issuer sent the ledger when it stopped. See
 * docs/design/at-most-once.md.
 */
export class TokenLedger {
    readonly issuer: string;
    private readonly entries = new Map<number, LedgerEntry>();
    private readonly maxResponseBytes: number;
    private readonly maxStoredBytes: number;
    private storedBytes = 0;
    private isSealed = false;

    constructor(options: TokenLedgerOptions) {
        this.issuer = options.issuer;
        this.maxResponseBytes = options.maxResponseBytes ?? defaultMaxResponseBytes;
        this.maxStoredBytes = options.maxStoredBytes ?? defaultMaxStoredBytes;
    }

    get size(): number {
        return this.entries.size;
    }

    /**
     * Claims the single run of a token.
     * @param digest Digest of the request; a token is valid for one request only.
     */
    claim(sequence: number, digest: string, expiresAt: number, now: number): TokenClaimResult {
        const entry = this.entries.get(sequence);
        if (entry !== undefined) {
            return readClaimResult(entry, digest);
        }
        if (this.isSealed || now >= expiresAt) {
            // The entry of a claimed token may have been removed after expiry, so "expired" does not imply "not run".
            return { kind: "expired" };
        }
        this.entries.set(sequence, { digest, expiresAt, outcome: undefined });
        return { kind: "granted" };
    }

    /** Releases a claim whose request is known not to have run; the caller may use the token again. */
    release(sequence: number): void {
        this.entries.delete(sequence);
    }

    /** Records the outcome of the run. */
    recordOutcome(sequence: number, outcome: TokenOutcome): void {
        const entry = this.entries.get(sequence);
        if (entry === undefined) {
            return;
        }
        entry.outcome = this.resolveOutcome(outcome);
        this.removeOldResponses();
    }

    /** Removes ended entries whose tokens have expired even by a clock that is `maxClockSkewMs` behind. */
    expire(now: number): void {
        for (const [sequence, entry] of this.entries) {
            if (now >= entry.expiresAt + maxClockSkewMs && entry.outcome !== undefined) {
                this.storedBytes -= readResponseBytes(entry.outcome);
                this.entries.delete(sequence);
            }
        }
    }

    /** Seals this ledger permanently and returns the record to hand over. No request may run when it is called. */
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

    /** Adopts the entries of an issuer that has stopped. */
    adopt(record: LedgerRecord): void {
        for (const { sequence, digest, expiresAt, outcome } of record.entries) {
            this.entries.set(sequence, { digest, expiresAt, outcome: this.resolveOutcome(outcome) });
        }
        this.removeOldResponses();
    }

    private resolveOutcome(outcome: TokenOutcome): TokenOutcome {
        const bytes = readResponseBytes(outcome);
        if (outcome.kind === "complete" && bytes > this.maxResponseBytes) {
            return { kind: "complete", answer: undefined };
        }
        this.storedBytes += bytes;
        return outcome;
    }

    private removeOldResponses(): void {
        for (const entry of this.entries.values()) {
            if (this.storedBytes <= this.maxStoredBytes) {
                return;
            }
            if (entry.outcome?.kind === "complete" && entry.outcome.answer !== undefined) {
                this.storedBytes -= readResponseBytes(entry.outcome);
                entry.outcome = { kind: "complete", answer: undefined };
            }
        }
    }
}

const unknownOutcome: TokenOutcome = {
    kind: "mayHaveRun",
    verdict: { kind: "mayHaveRun", reason: "issuerGone", detail: "the gateway stopped while the request ran" },
};

function readResponseBytes(outcome: TokenOutcome): number {
    return outcome.kind === "complete" ? outcome.answer?.body.length ?? 0 : 0;
}

function readClaimResult(entry: LedgerEntry, digest: string): TokenClaimResult {
    if (entry.digest !== digest) {
        return { kind: "mismatch" };
    }
    return entry.outcome === undefined ? { kind: "inUse" } : { kind: "spent", outcome: entry.outcome };
}
