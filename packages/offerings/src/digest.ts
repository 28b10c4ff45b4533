import { createHash } from "node:crypto";
import type { Entry } from "./schema.js";

/** Bytes of a digest of offerings. */
export const digestBytes = 32;

/** Members sorted by name, so that equal values have equal text. */
function createCanonical(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(createCanonical);
    }
    if (typeof value !== "object" || value === null) {
        return value;
    }
    const members = Object.entries(value).filter(([, member]) => member !== undefined);
    members.sort(([left], [right]) => (left < right ? -1 : 1));
    return Object.fromEntries(members.map(([name, member]) => [name, createCanonical(member)]));
}

/** Text of a value that does not depend on the order of its members. */
export function formatCanonical(value: unknown): string {
    return JSON.stringify(createCanonical(value));
}

/**
 * Digest of a set of entries that can be kept up to date entry by entry: the exclusive or of the entries' SHA-256.
 * It finds nodes that hold different offerings; it is no defence against somebody who may write to the log.
 */
export class EntryDigest {
    private readonly bytes: Buffer;

    constructor(from?: string) {
        this.bytes = from === undefined ? Buffer.alloc(digestBytes) : Buffer.from(from, "hex");
    }

    /** Adds an entry, or removes one that was added before. */
    mergeEntry(entry: Entry): void {
        const hash = createHash("sha256").update(formatCanonical([entry.section, entry.name, entry.value])).digest();
        for (let index = 0; index < digestBytes; index++) {
            this.bytes[index]! ^= hash[index]!;
        }
    }

    /** The digest in hexadecimal. */
    format(): string {
        return this.bytes.toString("hex");
    }
}
