/**
 * Part of the VM's memory that callers' bytes may take. The program itself takes 80 to 110 MB of the smallest VM's
 * 250 MB, and the sockets of 2,000 callers about as much as their bytes.
 */
const boundShare = 0.15;

/** Part of the bound below which requests are accepted again: a few bytes more or less must not alternate verdicts. */
const resumeShare = 0.85;

/**
 * How long a caller may read nothing of what waits for it, in milliseconds. The kernel's buffers hide the progress of a
 * slow reader for some seconds.
 */
const stallMs = 30_000;

/** The same while the bound is exceeded, in milliseconds. */
const urgentStallMs = 1000;

/** Memory that an open request takes besides its bytes: its objects and those of its connection, in bytes. */
const requestBytes = 8 * 1024;

/**
 * Part of the bound that bodies may take which are not complete yet: the rest is left to requests that can be served, so
 * that callers who never finish a body do not keep others out.
 */
const uploadShare = resumeShare;

const bytesPerMb = 1024 * 1024;

/** Size up to which a body counts as one of the requests that bodies which are not complete must not keep out, in bytes. */
const smallBodyBytes = 16 * 1024;

/** What is known about the bytes of one caller. */
export interface CallerBytes {
    /** Bytes of the response that were written and not yet taken by the caller's connection. */
    readonly unread: number;
    /** Bytes of the response that the connection has taken since the start. */
    readonly taken: number;
}

interface CallerAccount {
    /** Bytes of the request's body: the announced length, or what has arrived if that is more. */
    bodyBytes: number;
    receivedBytes: number;
    unread: number;
    taken: number;
    /** When the caller last took or sent bytes, or had none waiting. */
    activeAt: number;
    readonly startedAt: number;
    isUploading: boolean;
}

/** Options of {@link MemoryLedger}. */
export interface MemoryLedgerOptions {
    /** Memory of the VM, in megabytes. */
    readonly memoryMb: number;
}

/**
 * Counts the bytes that a VM holds for callers that read or send slowly, and decides which requests may begin, which
 * upstreams are read and which callers are disconnected. Pure: callers pass the time.
 */
export class MemoryLedger<Id> {
    readonly boundBytes: number;
    private readonly accounts = new Map<Id, CallerAccount>();
    private held = 0;
    /** Number of bodies that are not complete, and their bytes. */
    private uploads = 0;
    private uploadBytes = 0;
    private isOver = false;

    constructor({ memoryMb }: MemoryLedgerOptions) {
        this.boundBytes = memoryMb * bytesPerMb * boundShare;
    }

    /** Number of bytes that are held for all callers. */
    get heldBytes(): number {
        return this.held;
    }

    /** Whether the bound was exceeded and the bytes have not fallen clearly below it since. */
    get isExceeded(): boolean {
        return this.isOver;
    }

    /** Number of open requests. */
    get count(): number {
        return this.accounts.size;
    }

    /** Adds a request. @param announcedBytes Length of its body, 0 if unknown. @returns Whether it may begin. */
    add(id: Id, announcedBytes: number, now: number): boolean {
        if (!this.hasRoom(announcedBytes)) {
            return false;
        }
        this.accounts.set(id, {
            bodyBytes: announcedBytes,
            receivedBytes: 0,
            unread: 0,
            taken: 0,
            activeAt: now,
            startedAt: now,
            isUploading: true,
        });
        this.addUpload(1, announcedBytes);
        this.addHeld(announcedBytes + requestBytes);
        return true;
    }

    /** Records a part of a request's body; 0 bytes ask again. @returns Whether the rest may be read. */
    recordBody(id: Id, bytes: number, now: number): boolean {
        const account = this.accounts.get(id);
        if (account === undefined) {
            return true;
        }
        account.receivedBytes += bytes;
        account.activeAt = now;
        const excess = Math.max(0, account.receivedBytes - account.bodyBytes);
        account.bodyBytes += excess;
        this.addUpload(0, excess);
        this.addHeld(excess);
        // The announced length was counted when the request began.
        return (excess === 0 && bytes > 0) || this.mayGrow(account);
    }

    /** Records that the body of a request is complete. */
    finishBody(id: Id, now: number): void {
        const account = this.accounts.get(id);
        if (account?.isUploading === true) {
            account.isUploading = false;
            account.activeAt = now;
            this.addUpload(-1, -account.bodyBytes);
        }
    }

    /**
     * Finds the body that has taken longest to arrive, for more than a second, so that it makes room for another one;
     * undefined if there is none. Slow callers would otherwise keep quick ones out.
     */
    findLongestUpload(now: number): Id | undefined {
        const [longest] = [...this.accounts]
            .filter(([, { isUploading, bodyBytes, startedAt }]) =>
                isUploading && bodyBytes > 0 && now - startedAt >= urgentStallMs
            )
            .sort(([, left], [, right]) => left.startedAt - right.startedAt);
        return longest?.[0];
    }

    /** Updates the bytes that wait for a caller. @returns Whether more may be read from the caller's upstream. */
    updateResponse(id: Id, { unread, taken }: CallerBytes, now: number): boolean {
        const account = this.accounts.get(id);
        if (account === undefined) {
            return true;
        }
        if (unread === 0 || taken > account.taken) {
            account.activeAt = now;
        }
        const added = unread - account.unread;
        account.unread = unread;
        account.taken = taken;
        this.addHeld(added);
        return unread === 0 || !this.isOver;
    }

    /** Removes a request whose response was sent completely or whose caller has left. */
    remove(id: Id): void {
        const account = this.accounts.get(id);
        if (account !== undefined) {
            this.accounts.delete(id);
            if (account.isUploading) {
                this.addUpload(-1, -account.bodyBytes);
            }
            this.addHeld(-account.bodyBytes - account.unread - requestBytes);
        }
    }

    /**
     * Lists the callers to disconnect: those that have read nothing for 30 s of what waits for them. While the bound is
     * exceeded, also those that have read or sent nothing for 1 s, the longest first and only as many as needed.
     */
    listStalled(now: number): Id[] {
        const stalled = [...this.accounts]
            .map(([id, account]) => ({ id, account, idleMs: now - account.activeAt }))
            .filter(({ account, idleMs }) => (account.unread > 0 || account.isUploading) && idleMs >= urgentStallMs)
            .sort((left, right) => right.idleMs - left.idleMs);
        let excess = this.isOver ? this.held - this.boundBytes * resumeShare : 0;
        const ids: Id[] = [];
        for (const { id, account, idleMs } of stalled) {
            const isTooLong = account.unread > 0 && idleMs >= stallMs;
            if (!isTooLong && excess <= 0) {
                continue;
            }
            ids.push(id);
            excess -= account.unread + account.bodyBytes + requestBytes;
        }
        return ids;
    }

    /** Whether a request may begin. A single body may be longer than the share of all of them. */
    private hasRoom(announcedBytes: number): boolean {
        const isInShare = this.uploads === 0 || announcedBytes <= smallBodyBytes
            || this.uploadBytes + announcedBytes <= this.boundBytes * uploadShare;
        return !this.isOver && isInShare && this.held + announcedBytes + requestBytes <= this.boundBytes;
    }

    /** Whether a body that is not complete may grow. */
    private mayGrow({ bodyBytes }: CallerAccount): boolean {
        const isInShare = this.uploads <= 1 || bodyBytes <= smallBodyBytes
            || this.uploadBytes <= this.boundBytes * uploadShare;
        return !this.isOver && isInShare;
    }

    private addUpload(count: number, bytes: number): void {
        this.uploads += count;
        this.uploadBytes += bytes;
    }

    private addHeld(bytes: number): void {
        this.held += bytes;
        if (this.held >= this.boundBytes) {
            this.isOver = true;
        }
        else if (this.held < this.boundBytes * resumeShare) {
            this.isOver = false;
        }
    }
}
