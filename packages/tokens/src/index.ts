/** Request tokens: a non-idempotent request runs at most once, without a consensus protocol between gateways. */
export { TokenIssuer, type TokenIssuerOptions } from "./issuer.js";
export { maxClockSkewMs, type TokenClaimResult, TokenLedger, type TokenLedgerOptions } from "./ledger.js";
export { type LedgerRecord, ledgerRecordSchema, type StoredResponse, type TokenOutcome } from "./record.js";
export { formatToken, parseToken, type RequestToken } from "./token.js";
