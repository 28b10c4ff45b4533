/** Start of a valid status line. */
const statusLineStart = /^HTTP\/1\.[01] [1-5]\d\d$/;

/** Length of the start of a status line: its version and its status. */
const startLength = 12;

const carriageReturn = 0x0d;
const lineFeed = 0x0a;

/**
 * Checks the status lines of a response where its bytes are read. The HTTP parser takes other protocols, other versions
 * and any status of three digits as well, and does not tell a version.
 */
export class StatusLineCheck {
    /** Bytes that belong to no request are left to the parser, which takes none. */
    private place: "statusLine" | "informationalHead" | "rest" = "rest";
    private start = "";
    private isLineEmpty = false;

    /** Starts to check the response to another request. */
    restart(): void {
        this.place = "statusLine";
        this.start = "";
    }

    /** Receives bytes of a connection. @returns Whether they can belong to a response of HTTP/1.0 or HTTP/1.1. */
    receive(bytes: Buffer): boolean {
        for (let at = 0; at < bytes.length && this.place !== "rest"; at++) {
            if (this.place === "informationalHead") {
                this.receiveHeadByte(bytes[at]!);
            }
            else if (!this.receiveStatusLineByte(bytes[at]!)) {
                return false;
            }
        }
        return true;
    }

    private receiveStatusLineByte(byte: number): boolean {
        // The parser skips empty lines before a status line.
        if (this.start === "" && (byte === carriageReturn || byte === lineFeed)) {
            return true;
        }
        this.start += String.fromCharCode(byte);
        if (this.start.length < startLength) {
            return true;
        }
        this.place = this.start.at(-3) === "1" ? "informationalHead" : "rest";
        this.isLineEmpty = false;
        return statusLineStart.test(this.start);
    }

    /** Receives a byte of an informational head, which another head follows after an empty line. */
    private receiveHeadByte(byte: number): void {
        if (byte === carriageReturn) {
            return;
        }
        if (byte === lineFeed && this.isLineEmpty) {
            this.restart();
            return;
        }
        this.isLineEmpty = byte === lineFeed;
    }
}
