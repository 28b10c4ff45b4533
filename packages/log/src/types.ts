import type { Result } from "neverthrow";
import { z } from "zod";

/** A record of a stream and its offset. */
export const logRecordSchema = z.object({ offset: z.number().int().nonnegative(), data: z.string() });

/** See {@link logRecordSchema}. */
export type LogRecord = z.infer<typeof logRecordSchema>;

/** Result of one read. */
export const logPageSchema = z.object({
    /** Offset of the oldest record that the stream still holds. */
    earliest: z.number().int().nonnegative(),
    /** Offset that the next append will get. */
    end: z.number().int().nonnegative(),
    records: z.array(logRecordSchema),
});

/** See {@link logPageSchema}. */
export type LogPage = z.infer<typeof logPageSchema>;

/** A failed call to the platform. */
export interface PlatformError {
    /**
     * `notDone`: the call took no effect.
     * `unknown`: the call may have taken effect, since no conclusive response arrived.
     */
    readonly effect: "notDone" | "unknown";
    readonly message: string;
}

/** The platform's append-only log. */
export interface LogClient {
    /** Appends one record and returns its offset. */
    append(stream: string, data: string): Promise<Result<number, PlatformError>>;
    /** Reads records from `offset` on; if there are none, waits up to `waitMs` milliseconds for the next one. */
    read(stream: string, offset: number, waitMs: number): Promise<Result<LogPage, PlatformError>>;
}

/** An entry of the platform's VM list. */
export const vmSchema = z.object({
    id: z.string(),
    role: z.enum(["entry", "engine", "service"]),
    dataCentre: z.string(),
    /** `host:port` of the agent's listener for peers (entry VMs) or of the HTTP listener (upstreams). */
    address: z.string(),
    state: z.enum(["live", "leaving"]),
    /** Name of the service; present only with the role `service`. */
    service: z.string().optional(),
});

/** See {@link vmSchema}. */
export type Vm = z.infer<typeof vmSchema>;

/** The platform's VM list. The list lags behind the actual state of the VMs. */
export interface VmListClient {
    list(): Promise<Result<Vm[], PlatformError>>;
}
