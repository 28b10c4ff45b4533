import { createRefused, type RefusedVerdict } from "@radishreel/verdict";
import { err, ok, type Result } from "neverthrow";
import { createHmac, timingSafeEqual } from "node:crypto";

/** Most characters of a token that is looked at. */
const maxTokenLength = 1024;

/** What a request token says. */
export interface RequestToken {
    /** Incarnation of the gateway that issued it: the only one that may dispatch its request. */
    readonly issuer: string;
    /** Where that gateway is reached by other gateways, `host:port`. */
    readonly address: string;
    /** Different for each token of an issuer. */
    readonly sequence: number;
    readonly customer: string;
    /** Milliseconds since 1970 by the issuer's clock; only the issuer judges it. */
    readonly expiresAt: number;
}

function createSignature(secret: string, payload: string): Buffer {
    return createHmac("sha256", secret).update(`request-token:${payload}`).digest();
}

/** The token's text: its members, and a signature that only the deployment's own processes can make. */
export function formatToken(secret: string, token: RequestToken): string {
    const { issuer, address, sequence, customer, expiresAt } = token;
    const payload = Buffer.from(JSON.stringify([issuer, address, sequence, customer, expiresAt])).toString("base64url");
    return `${payload}.${createSignature(secret, payload).toString("base64url")}`;
}

/** Reads a token's text. One that this deployment did not issue can never have run anything. */
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
    const [issuer, address, sequence, customer, expiresAt] = members;
    return ok({ issuer, address, sequence, customer, expiresAt });
}
