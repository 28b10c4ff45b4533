/** Maximum size of one block, in bytes. */
const maxBlockBytes = 64 * 1024;

/**
 * Bytes that arrive in pieces and are taken out together. The pieces are copied into blocks, so the memory that is kept
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
