/** Maximum size of one block, in bytes. */
const maxBlockBytes = 64 * 1024;

/** Size from which on a piece is kept as it is, in bytes, if it is no view of a larger buffer. */
const minKeptBytes = 4 * 1024;

/**
 * Bytes that arrive in pieces and are taken out together. Small pieces are copied into blocks, so the memory that is kept
 * and the work for a piece depend on its bytes, however many pieces are kept, and on no buffer that a piece is a view of.
 */
export class ByteBuffer {
    /** All blocks but the last are full. */
    private blocks: Buffer[] = [];
    private lastBytes = 0;
    private keptBytes = 0;

    /** Number of bytes that are kept. */
    get length(): number {
        return this.keptBytes;
    }

    push(piece: Buffer): void {
        if (this.mayKeep(piece)) {
            this.blocks.push(piece);
            this.lastBytes = piece.length;
            this.keptBytes += piece.length;
            return;
        }
        for (let at = 0; at < piece.length;) {
            const block = this.prepareBlock(piece.length - at);
            const count = piece.copy(block, this.lastBytes, at);
            at += count;
            this.lastBytes += count;
            this.keptBytes += count;
        }
    }

    /** Returns all bytes, which are no longer kept here. */
    popAll(): Buffer {
        const { blocks, keptBytes } = this;
        this.blocks = [];
        this.lastBytes = 0;
        this.keptBytes = 0;
        return blocks.length === 1 ? blocks[0]!.subarray(0, keptBytes) : Buffer.concat(blocks, keptBytes);
    }

    /** Whether a piece can be a block: the block before it is full, and its buffer holds nothing else. */
    private mayKeep(piece: Buffer): boolean {
        const isLastFull = this.blocks.length === 0 || this.lastBytes === this.blocks.at(-1)!.length;
        return isLastFull && piece.length >= minKeptBytes && piece.buffer.byteLength === piece.length;
    }

    /** Returns a block with room. Blocks grow with what is kept, so that at most as much again is unused. */
    private prepareBlock(neededBytes: number): Buffer {
        const last = this.blocks.at(-1);
        if (last !== undefined && this.lastBytes < last.length) {
            return last;
        }
        const block = Buffer.allocUnsafe(Math.min(Math.max(neededBytes, this.keptBytes), maxBlockBytes));
        this.blocks.push(block);
        this.lastBytes = 0;
        return block;
    }
}
