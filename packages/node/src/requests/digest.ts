import { createHash } from "node:crypto";

/** Lengths of the two parts of a digest, in hexadecimal digits: 64 and 128 bits. */
const headDigits = 16;
const bodyDigits = 32;

/** The parts of a request that its digest covers. Repeats of a request have the same digest at every VM. */
export interface RequestContent {
    readonly method: string;
    readonly host: string;
    readonly path: string;
    /** Name of the client account, or the caller's key where there are no accounts; undefined without either. */
    readonly account: string | undefined;
    readonly body: Buffer | undefined;
}

/**
 * Identifies a request by a one-way hash of its content. Each part is computed on first use, since hashing 4 MB takes
 * some milliseconds.
 */
export class RequestDigest {
    private headDigest: string | undefined;
    private fullDigest: string | undefined;

    constructor(private readonly content: RequestContent) {}

    /** Digest of everything except the body. */
    get head(): string {
        const { method, host, path, account } = this.content;
        this.headDigest ??= formatDigest(JSON.stringify([method, host.toLowerCase(), path, account]), headDigits);
        return this.headDigest;
    }

    /** Digest of the whole request: the head digest and the body digest, joined by a dot. */
    get full(): string {
        this.fullDigest ??= `${this.head}.${formatDigest(this.content.body ?? "", bodyDigits)}`;
        return this.fullDigest;
    }
}

function formatDigest(content: Buffer | string, digits: number): string {
    return createHash("sha256").update(content).digest("hex").slice(0, digits);
}
