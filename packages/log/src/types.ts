import type { Result } from "neverthrow";
import { z } from "zod";

/** One record of a stream, at its offset. */
export const logRecordSchema = z.object({ offset: z.number().int().nonnegative(), data: z.string() });

/** See {@link logRecordSchema}. */
export type LogRecord = z.infer<typeof logRecordSchema>;

/** Records from one read. */
export const logPageSchema = z.object({
    /** Offset of the oldest record that is still kept. */
    earliest: z.number().int().nonnegative(),
    /** Offset that the next append will get. */
    end: z.number().int().nonnegative(),
    records: z.array(logRecordSchema),
});

/** See {@link logPageSchema}. */
export type LogPage = z.infer<typeof logPageSchema>;

/** A failed call to the platform. */
export interface PlatformError {
    /** `notDone`: it took no effect. `unknown`: it may have, since only its answer is missing. */
    readonly effect: "notDone" | "unknown";
    readonly message: string;
}

/** The platform's append-only log. */
export interface LogClient {
    /** Appends one record and returns its offset. */
    append(stream: string, data: string): Promise<Result<number, PlatformError>>;
    /** Reads records from `offset` on; waits up to `waitMs` while there are none. */
    read(stream: string, offset: number, waitMs: number): Promise<Result<LogPage, PlatformError>>;
}

/** One VM of the platform's list. */
export const vmSchema = z.object({
    id: z.string(),
    role: z.enum(["entry", "engine", "service"]),
    dataCentre: z.string(),
    /** Entry VMs: the agent's listener for peers. Upstreams: their HTTP listener. `host:port`. */
    address: z.string(),
    state: z.enum(["live", "leaving"]),
    /** Services only: which service it serves. */
    service: z.string().optional(),
});

/** See {@link vmSchema}. */
export type Vm = z.infer<typeof vmSchema>;

/** The platform's list of VMs, which lags. */
export interface VmListClient {
    list(): Promise<Result<Vm[], PlatformError>>;
}
