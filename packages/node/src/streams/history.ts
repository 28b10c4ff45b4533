import type { StreamHistory, StreamHistoryStore } from "../ports.js";
import { mergeClaims } from "./claims.js";

/**
 * Reads from the store where streams began. Requests share a read, but never one that was in flight when they arrived:
 * it may lack the claim of a stream that began in the meantime.
 */
export class StreamHistoryReader {
    private nextRead: Promise<StreamHistory | undefined> | undefined;
    private currentRead: Promise<unknown> = Promise.resolve();

    constructor(private readonly store: Pick<StreamHistoryStore, "readClaims" | "readStreams">) {}

    /** Reads the history; undefined if the store does not respond, or may lack what it confirmed. */
    read(): Promise<StreamHistory | undefined> {
        this.nextRead ??= this.currentRead.then(() => {
            this.nextRead = undefined;
            const read = this.readStore();
            this.currentRead = read;
            return read;
        });
        return this.nextRead;
    }

    private async readStore(): Promise<StreamHistory | undefined> {
        const claims = await this.store.readClaims();
        if (claims === undefined) {
            return undefined;
        }
        const isAmbiguous = [...mergeClaims(claims).values()].some(({ size }) => size > 1);
        const records = isAmbiguous ? await this.store.readStreams() : [];
        return records === undefined ? undefined : { claims, records };
    }
}
