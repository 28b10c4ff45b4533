import { createHash, createHmac, timingSafeEqual } from "node:crypto";

/** Header that proves that a request comes from another gateway of the deployment. */
export const peerProofHeader = "x-radishreel-peer";

/** Path at which a stopping gateway hands over what became of its request tokens. */
export const handoverPath = "/peer/handover";

/** Greatest age of a proof, in milliseconds, over the difference between two VMs' clocks. */
const maxProofAgeMs = 60_000;

/**
 * Proof that a gateway sends this request now. A replay within the proof's life changes nothing: what a forwarded
 * request does is bound to its request token, and a handover is taken once.
 */
export function createPeerProof(secret: string, method: string, path: string, body: Uint8Array, now: number): string {
    return `${now}.${createSignature(secret, method, path, body, now)}`;
}

/** Checks {@link createPeerProof}. */
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
