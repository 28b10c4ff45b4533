const lineFeed = 10;
const carriageReturn = 13;

/** Finds the empty lines that end events in bytes that arrive in pieces. No byte is looked at twice. */
export class EventEndFinder {
    /** Whether the event has a line that is complete: an empty line before all others ends no event. */
    private hasLine = false;
    /** Bytes of the unfinished line that earlier pieces have brought, and the first of them. */
    private lineBytes = 0;
    private firstByte = 0;

    /** Finds the position after the next end of an event, from `start` on; -1 if it has not arrived yet. */
    find(piece: Buffer, start: number): number {
        let at = start;
        for (let feed = piece.indexOf(lineFeed, at); feed >= 0; feed = piece.indexOf(lineFeed, at)) {
            this.recordLine(piece, at, feed);
            const isEmptyLine = this.lineBytes === 0 || (this.lineBytes === 1 && this.firstByte === carriageReturn);
            const isEnd = isEmptyLine && this.hasLine;
            this.lineBytes = 0;
            this.hasLine = !isEnd;
            at = feed + 1;
            if (isEnd) {
                return at;
            }
        }
        this.recordLine(piece, at, piece.length);
        return -1;
    }

    /** Records bytes of the unfinished line. */
    private recordLine(piece: Buffer, start: number, end: number): void {
        if (this.lineBytes === 0 && end > start) {
            this.firstByte = piece[start]!;
        }
        this.lineBytes += end - start;
    }
}
