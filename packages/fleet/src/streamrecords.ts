import * as z from "zod";

/** Maximum number of streams that one VM keeps records of; the oldest records yield. */
const maxRecords = 200_000;

/** What produced the first event of a stream. Only upstreams of the same origin can continue the stream. */
const streamOriginSchema = z.object({ service: z.string(), softwareVersion: z.string() });

/** See {@link streamOriginSchema}. */
export type StreamOrigin = z.infer<typeof streamOriginSchema>;

/** Origin of one stream, as VMs exchange it. */
export const streamRecordSchema = z.object({
    /** Identifier of the caller's attempt that received the first event. */
    stream: z.string(),
    /** Missing if two streams of different origins have this identifier, so that neither can be continued. */
    origin: streamOriginSchema.optional(),
    /** How long the stream's caller may still resume it, in milliseconds. */
    lifeMs: z.number().nonnegative(),
});

/** See {@link streamRecordSchema}. */
export type StreamRecord = z.infer<typeof streamRecordSchema>;

/** Software versions of upstreams at which streams may have begun, by service. */
export const softwareClaimsSchema = z.record(z.string(), z.array(z.string()));

/** See {@link softwareClaimsSchema}. */
export type SoftwareClaims = z.infer<typeof softwareClaimsSchema>;

/** Whether two origins are the same. */
function isSameOrigin(left: StreamOrigin | undefined, right: StreamOrigin | undefined): boolean {
    return left?.service === right?.service && left?.softwareVersion === right?.softwareVersion;
}

interface KnownStream {
    readonly origin: StreamOrigin | undefined;
    readonly expiresAt: number;
    /** When this VM learned of the stream. */
    readonly learnedAt: number;
}

/** Origins of the streams that callers may resume. */
export class StreamRecords {
    private readonly streams = new Map<string, KnownStream>();

    constructor(private readonly limit = maxRecords) {}

    get count(): number {
        return this.streams.size;
    }

    /** Merges a record. @returns Whether it told anything new about the origin. */
    merge({ stream, origin, lifeMs }: StreamRecord, now: number): boolean {
        const known = this.streams.get(stream);
        const isConflict = known !== undefined && !isSameOrigin(known.origin, origin);
        const merged = isConflict ? undefined : origin;
        const isNew = known === undefined || !isSameOrigin(known.origin, merged);
        this.streams.set(stream, {
            origin: merged,
            expiresAt: Math.max(known?.expiresAt ?? 0, now + lifeMs),
            learnedAt: isNew ? now : known.learnedAt,
        });
        if (this.streams.size > this.limit) {
            const [oldest] = this.streams.keys();
            this.streams.delete(oldest!);
        }
        return isNew;
    }

    find(stream: string, now: number): StreamRecord | undefined {
        const known = this.streams.get(stream);
        return known === undefined || known.expiresAt <= now ? undefined : createRecord(stream, known, now);
    }

    /** Lists the records that this VM learned at or after a time. */
    list(now: number, learnedSince = -Infinity): StreamRecord[] {
        return [...this.streams].filter(([, known]) => known.expiresAt > now && known.learnedAt >= learnedSince)
            .map(([stream, known]) => createRecord(stream, known, now));
    }

    expireOld(now: number): void {
        for (const [stream, { expiresAt }] of this.streams) {
            if (expiresAt <= now) {
                this.streams.delete(stream);
            }
        }
    }
}

function createRecord(stream: string, { origin, expiresAt }: KnownStream, now: number): StreamRecord {
    return { stream, origin, lifeMs: Math.ceil(expiresAt - now) };
}
