import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import * as z from "zod";
import { type NodeIdentity, nodeIdentitySchema, protocolVersion } from "./types.js";

const nonceBytes = 16;

/** First frame of each side. */
export const helloSchema = z.strictObject({
    type: z.literal("hello"),
    version: z.number().int(),
    nonce: z.instanceof(Uint8Array),
    node: nodeIdentitySchema,
});

/** Second frame of each side: proof that the sender knows the shared secret. */
export const proofSchema = z.strictObject({ type: z.literal("proof"), mac: z.instanceof(Uint8Array) });

/** See {@link helloSchema}. */
export type Hello = z.infer<typeof helloSchema>;

/** Creates a hello with a random nonce. */
export function createHello(node: NodeIdentity): Hello {
    return { type: "hello", version: protocolVersion, nonce: randomBytes(nonceBytes), node };
}

/**
 * Creates the proof that the sender of `own` presents to the sender of `other`. The authentication code (HMAC-SHA256)
 * covers the prover's identity and both nonces, so that a proof can be neither replayed on another connection nor
 * reflected to its sender.
 */
export function createProof(secret: string, own: Hello, other: Hello): Buffer {
    return createHmac("sha256", secret)
        .update(
            JSON.stringify([
                own.node,
                Buffer.from(own.nonce).toString("hex"),
                Buffer.from(other.nonce).toString("hex"),
            ]),
        )
        .digest();
}

/** Whether `mac` proves that the sender of `other` knows the secret. */
export function checkProof(secret: string, own: Hello, other: Hello, mac: Uint8Array): boolean {
    const expected = createProof(secret, other, own);
    return mac.length === expected.length && timingSafeEqual(expected, mac);
}
