import { createHash } from "node:crypto";
import type { Entry } from "./schema.js";

/** Size of a digest of offerings, in bytes. */
export const digestBytes = 32;

/** Sorts the members of objects by name, so that equal values have equal JSON text. */
function createCanonicalValue(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(createCanonicalValue);
    }
    if (typeof value !== "object" || value === null) {
        return value;
    }
    const members = Object.entries(value).filter(([, member]) => member !== undefined);
    members.sort(([left], [right]) => (left < right ? -1 : 1));
    return Object.fromEntries(members.map(([name, member]) => [name, createCanonicalValue(member)]));
}

/** JSON text of a value, independent of the order of its members. */
export function formatCanonical(value: unknown): string {
    return JSON.stringify(createCanonicalValue(value));
}

/**
 * Digest of a set of entries that can be updated entry by entry: the exclusive or of the entries' SHA-256 digests.
 * The digest detects nodes that hold different offerings; it does not protect against a writer of the log that forges
 * entries.
 */
export class EntryDigest {
    private readonly bytes: Buffer;

    constructor(from?: string) {
        this.bytes = from === undefined ? Buffer.alloc(digestBytes) : Buffer.from(from, "hex");
    }

    /** Adds an entry, or removes an entry that was added before. */
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
