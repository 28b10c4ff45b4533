import { createHash } from "node:crypto";

/** Low part of a token, which tells owners apart that claim at the same time. */
const identityBits = 21;
const identityRange = 2 ** identityBits;

/**
 * A fencing token above `seen`. Tokens of different owners differ even where both saw the same one, but for one case
 * in two million; the engine is the arbiter, so that no log is needed, and an outage of it stops no take-over.
 */
export function createFence(seen: number, identity: string): number {
    const tag = createHash("sha256").update(identity).digest().readUInt32BE(0) % identityRange;
    return (Math.floor(seen / identityRange) + 1) * identityRange + tag;
}
