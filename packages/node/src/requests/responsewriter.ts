import { ByteBuffer } from "@radishreel/wire";
import type { ServerResponse } from "node:http";

/** Bytes of pieces that are collected at most before they are written. */
const maxCollectedBytes = 16 * 1024;

/**
 * Writes the body of a response. Small pieces that arrive together are written together, since each write takes memory
 * and work of its own until the caller has read it.
 */
export class ResponseWriter {
    private readonly pieces = new ByteBuffer();
    private isScheduled = false;

    constructor(private readonly response: ServerResponse) {}

    /** Bytes that wait until the caller's connection takes them. */
    get unreadBytes(): number {
        return this.response.writableLength + this.pieces.length;
    }

    /** Writes a piece, at the latest after the current step. @returns False if the caller has to read before. */
    push(bytes: Buffer): boolean {
        if (bytes.length >= maxCollectedBytes) {
            this.write();
            return this.response.write(bytes);
        }
        this.pieces.push(bytes);
        if (this.pieces.length >= maxCollectedBytes) {
            this.write();
        }
        this.scheduleWrite();
        return !this.response.writableNeedDrain;
    }

    /** Completes the response. */
    end(bytes?: Buffer): void {
        this.write();
        this.response.end(bytes);
    }

    private scheduleWrite(): void {
        if (this.isScheduled || this.pieces.length === 0) {
            return;
        }
        this.isScheduled = true;
        process.nextTick(() => {
            this.isScheduled = false;
            this.write();
        });
    }

    private write(): void {
        if (this.pieces.length === 0) {
            return;
        }
        const bytes = this.pieces.popAll();
        if (!this.response.destroyed) {
            this.response.write(bytes);
        }
    }
}
