import { createHash, createHmac, timingSafeEqual } from "node:crypto";

/** Header with the proof that a request comes from another gateway of the deployment. */
export const peerProofHeader = "x-radishreel-peer";

/** Path to which a stopping gateway posts its request-token ledgers. */
export const handoverPath = "/peer/handover";

/** Maximum age of a proof, in milliseconds. Includes the difference between the clocks of two VMs. */
const maxProofAgeMs = 60_000;

/**
 * Creates a proof that a gateway of the deployment sends this request at `now`. Replaying a request while its proof is
 * valid changes nothing: a forwarded request runs at most once per request token, and a handover is adopted once.
 */
export function createPeerProof(secret: string, method: string, path: string, body: Uint8Array, now: number): string {
    return `${now}.${createSignature(secret, method, path, body, now)}`;
}

/** Checks a proof that {@link createPeerProof} created. */
export function checkPeerProof(
    secret: string,
    method: string,
    path: string,
    body: Uint8Array,
    proof: unknown,
    now: number,
): boolean {
    const [time, signature] = String(proof).split(".");
    const sentAt = Number(time);
    if (signature === undefined || !(Math.abs(now - sentAt) <= maxProofAgeMs)) {
        return false;
    }
    const expected = Buffer.from(createSignature(secret, method, path, body, sentAt));
    const given = Buffer.from(signature);
    return given.length === expected.length && timingSafeEqual(given, expected);
}

function createSignature(secret: string, method: string, path: string, body: Uint8Array, time: number): string {
    const digest = createHash("sha256").update(body).digest("hex");
    return createHmac("sha256", secret).update(JSON.stringify(["peer", method, path, digest, time])).digest(
        "base64url",
    );
}
