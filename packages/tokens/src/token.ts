import { createRefused, type RefusedVerdict } from "@radishreel/verdict";
import { err, ok, type Result } from "neverthrow";
import { createHmac, timingSafeEqual } from "node:crypto";

/** Longest token text that is parsed, in characters; a longer text is cut. */
const maxTokenLength = 1024;

/** Contents of a request token. */
export interface RequestToken {
    /** Incarnation of the gateway that issued the token, the only one that may dispatch the token's request. */
    readonly issuer: string;
    /** `host:port` at which other gateways reach the issuer. */
    readonly address: string;
    /** Unique among the tokens of an issuer. */
    readonly sequence: number;
    readonly account: string;
    /** Expiry time by the issuer's clock, in milliseconds since 1970; checked by the issuer only. */
    readonly expiresAt: number;
}

function createSignature(secret: string, payload: string): Buffer {
    return createHmac("sha256", secret).update(`request-token:${payload}`).digest();
}

/** Formats a token: its members, and a signature that only processes with the deployment's secret can create. */
export function formatToken(secret: string, token: RequestToken): string {
    const { issuer, address, sequence, account, expiresAt } = token;
    const payload = Buffer.from(JSON.stringify([issuer, address, sequence, account, expiresAt])).toString("base64url");
    return `${payload}.${createSignature(secret, payload).toString("base64url")}`;
}

/** Parses a token's text. The error is a refusal: no request can have run with a token of another deployment. */
export function parseToken(secret: string, text: string): Result<RequestToken, RefusedVerdict> {
    const malformed = createRefused("malformedRequestToken", "this deployment did not issue that request token");
    const [payload, signature, ...rest] = text.slice(0, maxTokenLength).split(".");
    if (payload === undefined || signature === undefined || rest.length > 0) {
        return err(malformed);
    }
    const given = Buffer.from(signature, "base64url");
    const expected = createSignature(secret, payload);
    if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
        return err(malformed);
    }
    const members = JSON.parse(Buffer.from(payload, "base64url").toString("utf8")) as [
        string,
        string,
        number,
        string,
        number,
    ];
    const [issuer, address, sequence, account, expiresAt] = members;
    return ok({ issuer, address, sequence, account, expiresAt });
}
