import { createHash } from "node:crypto";

/** Width of a token's low part, in bits. The low part distinguishes owners that claim an engine at the same time. */
const identityBits = 21;
const identityRange = 2 ** identityBits;

/**
 * Creates a fencing token higher than `seen`. Tokens of different owners differ even if both owners saw the same token,
 * except in one case in two million. The engine decides between tokens, so no log is needed and an outage of the log
 * does not prevent an owner from taking over an engine.
 */
export function createFence(seen: number, identity: string): number {
    const identityHash = createHash("sha256").update(identity).digest().readUInt32BE(0) % identityRange;
    return (Math.floor(seen / identityRange) + 1) * identityRange + identityHash;
}
