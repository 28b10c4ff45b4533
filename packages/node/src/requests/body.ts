import { KeptBytes } from "./responsememory.js";

/** Maximum bytes of a plain response that are buffered until it is complete; larger responses are streamed. */
const maxBufferedBytes = 256 * 1024;

/** Maximum bytes of the body of a failure, which may be streamed to a caller that cannot be served otherwise. */
const maxFailureBytes = 16 * 1024 * 1024;

/** Bytes of a body that count as progress. Less may come so slowly that the response is never complete. */
const progressBytes = 1024;

/** How long the rest of a response is waited for that rejects its request without running it, in milliseconds. */
const rejectionBodyMs = 100;

/** How long the rest of any other failure is waited for, in milliseconds: a sound upstream may be silent for a second. */
const failureBodyMs = 1500;

/** Returns how long the body of a failure is waited for, in milliseconds; infinite if the body matters. */
export function readBodyLimitMs(status: number, isNotRun: boolean): number {
    return isNotRun ? rejectionBodyMs : status >= 500 ? failureBodyMs : Infinity;
}

/** Counts the body of a plain response, and buffers it until it is complete or too long. */
export class BufferedBody {
    private readonly bytes = new KeptBytes();
    private receivedBytes = 0;
    private bytesWithoutProgress = 0;

    /** Whether the body must not be buffered any longer. */
    get isTooLong(): boolean {
        return this.receivedBytes > maxBufferedBytes || this.bytes.isRefused;
    }

    /** Whether the body is too long for that of a failure. */
    get isTooLongForFailure(): boolean {
        return this.receivedBytes > maxFailureBytes;
    }

    push(chunk: Buffer): void {
        this.bytes.push(chunk);
    }

    /** Records data of the body. @returns Whether enough has arrived since the last progress to count as progress. */
    recordData(bytes: number): boolean {
        this.receivedBytes += bytes;
        this.bytesWithoutProgress += bytes;
        if (this.bytesWithoutProgress < progressBytes) {
            return false;
        }
        this.bytesWithoutProgress = 0;
        return true;
    }

    /** Drops the buffered bytes. */
    close(): void {
        this.bytes.close();
    }

    /** Returns the buffered bytes, which are no longer kept here. */
    popAll(): Buffer {
        return this.bytes.popAll();
    }
}
