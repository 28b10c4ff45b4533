import { ByteBuffer } from "@radishreel/wire";

/** Part of the VM's memory that the kept parts of all responses may take. */
const boundShare = 0.05;

/** Bytes that each response may keep while the bound is exceeded. */
const smallBytes = 16 * 1024;

const bytesPerMb = 1024 * 1024;

/** Counts the bytes of responses that attempts keep, and decides which may keep more. */
export class ResponseMemory {
    private boundBytes = Infinity;
    private held = 0;

    /** Number of bytes that are kept. */
    get heldBytes(): number {
        return this.held;
    }

    /** Sets the bound. @param memoryMb Memory of the VM, in megabytes. */
    setMemory(memoryMb: number): void {
        this.boundBytes = memoryMb * bytesPerMb * boundShare;
    }

    /** Adds to the bytes that are kept; a negative number removes from them. */
    add(bytes: number): void {
        this.held += bytes;
    }

    /** Whether a response may go on keeping its bytes. */
    mayKeep(bytes: number): boolean {
        return bytes <= smallBytes || this.held <= this.boundBytes;
    }
}

/** The memory of all responses of this process. */
export const responseMemory = new ResponseMemory();

/** Bytes of one response that are kept, and counted until they are taken out or the response ends. */
export class KeptBytes {
    private bytes = new ByteBuffer();

    constructor(private readonly memory: ResponseMemory = responseMemory) {}

    /** Number of bytes that are kept. */
    get length(): number {
        return this.bytes.length;
    }

    /** Whether all responses together keep too much for this one to keep its bytes. */
    get isRefused(): boolean {
        return !this.memory.mayKeep(this.length);
    }

    push(piece: Buffer): void {
        this.memory.add(piece.length);
        this.bytes.push(piece);
    }

    /** Returns all bytes, which are no longer kept here. */
    popAll(): Buffer {
        this.memory.add(-this.length);
        return this.bytes.popAll();
    }

    /** Drops all bytes. */
    close(): void {
        this.memory.add(-this.length);
        this.bytes = new ByteBuffer();
    }
}
