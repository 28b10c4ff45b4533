import { formatToken } from "./token.js";

/** Options of {@link TokenIssuer}. */
export interface TokenIssuerOptions {
    readonly secret: string;
    readonly issuer: string;
    /** Where other gateways reach this one. */
    readonly address: string;
    /** How long a token lives, in milliseconds. @default 3600000 */
    readonly lifeMs?: number;
}

const defaultLifeMs = 3_600_000;

/** Issues the request tokens of one gateway. */
export class TokenIssuer {
    readonly lifeMs: number;
    private sequence = 0;

    constructor(private readonly options: TokenIssuerOptions) {
        this.lifeMs = options.lifeMs ?? defaultLifeMs;
    }

    /** New tokens for a customer, and when they expire. */
    createTokens(customer: string, count: number, now: number): { tokens: string[]; expiresAt: number; } {
        const { secret, issuer, address } = this.options;
        const expiresAt = now + this.lifeMs;
        const tokens = Array.from(
            { length: count },
            () => formatToken(secret, { issuer, address, sequence: ++this.sequence, customer, expiresAt }),
        );
        return { tokens, expiresAt };
    }
}
