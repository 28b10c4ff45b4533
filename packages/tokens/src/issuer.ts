import { formatToken } from "./token.js";

/** Options of {@link TokenIssuer}. */
export interface TokenIssuerOptions {
    /** Key that signs the tokens. */
    readonly secret: string;
    /** Incarnation of this gateway. */
    readonly issuer: string;
    /** `host:port` at which other gateways reach this gateway. */
    readonly address: string;
    /** Lifetime of a token, in milliseconds. @default 3600000 */
    readonly lifeMs?: number;
}

const defaultLifetimeMs = 3_600_000;

/** Issues the request tokens of one gateway. */
export class TokenIssuer {
    readonly lifeMs: number;
    private sequence = 0;

    constructor(private readonly options: TokenIssuerOptions) {
        this.lifeMs = options.lifeMs ?? defaultLifetimeMs;
    }

    /** New tokens for a client account, and their expiry time in milliseconds since 1970. */
    createTokens(account: string, count: number, now: number): { tokens: string[]; expiresAt: number; } {
        const { secret, issuer, address } = this.options;
        const expiresAt = now + this.lifeMs;
        const tokens = Array.from(
            { length: count },
            () => formatToken(secret, { issuer, address, sequence: ++this.sequence, account, expiresAt }),
        );
        return { tokens, expiresAt };
    }
}
