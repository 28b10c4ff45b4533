/** Maximum bytes of heads and framing of one exchange beyond those that its content allows. */
const baseBytes = 64 * 1024;

/** Maximum bytes of framing for each byte of content: a chunk of one byte takes five. */
const framingPerContentByte = 16;

/**
 * Limits the bytes that an upstream sends beside the content of a response: informational heads, chunk sizes and chunk
 * extensions, which may come without end and of which the HTTP parser reports nothing.
 */
export class FramingLimit {
    private receivedBytes = 0;
    private contentBytes = 0;

    /** Whether more framing was received than any valid response needs. */
    get isExceeded(): boolean {
        return this.receivedBytes - this.contentBytes > baseBytes + framingPerContentByte * this.contentBytes;
    }

    /** Starts to count for another exchange. */
    restart(): void {
        this.receivedBytes = 0;
        this.contentBytes = 0;
    }

    /** Records bytes that were read from the connection. */
    recordReceived(bytes: number): void {
        this.receivedBytes += bytes;
    }

    /** Records bytes of the response's body. */
    recordContent(bytes: number): void {
        this.contentBytes += bytes;
    }
}
