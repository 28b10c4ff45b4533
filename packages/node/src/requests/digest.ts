import { createHash } from "node:crypto";

/** Lengths of both parts of a digest, in hexadecimal digits: 64 and 128 bits. */
const headDigits = 16;
const bodyDigits = 32;

/** What tells one request from others, however often and at whatever VM it comes. */
export interface RequestContent {
    readonly method: string;
    readonly host: string;
    readonly path: string;
    /** Name of the caller's account, or its key where there are no accounts; undefined if it has neither. */
    readonly account: string | undefined;
    readonly body: Buffer | undefined;
}

/**
 * Names a request by what it holds. Neither part can be turned back into the request. Each is worked out when it is first
 * asked for: a body of 4 MB takes some milliseconds.
 */
export class RequestDigest {
    private headText: string | undefined;
    private fullText: string | undefined;

    constructor(private readonly content: RequestContent) {}

    /** Digest of all but the body. */
    get head(): string {
        const { method, host, path, account } = this.content;
        this.headText ??= formatDigest(JSON.stringify([method, host.toLowerCase(), path, account]), headDigits);
        return this.headText;
    }

    /** Digest of the whole request: its head's, and its body's. */
    get full(): string {
        this.fullText ??= `${this.head}.${formatDigest(this.content.body ?? "", bodyDigits)}`;
        return this.fullText;
    }
}

function formatDigest(content: Buffer | string, digits: number): string {
    return createHash("sha256").update(content).digest("hex").slice(0, digits);
}
