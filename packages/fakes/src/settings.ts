import { z } from "zod";

/** Settings of `radishreel-fakes`: the fakes to start in one process. For a port of 0 the system chooses the port. */
export const fakesSettingsSchema = z.strictObject({
    host: z.string().default("127.0.0.1"),
    logPort: z.number().int().default(0),
    vmListPort: z.number().int().default(0),
    storePort: z.number().int().default(0),
    storeLoadsPerSecond: z.number().positive().default(20),
    engines: z.array(z.strictObject({
        id: z.string(),
        dataCentre: z.string(),
        port: z.number().int().default(0),
        slots: z.number().int().positive().default(4),
        batchRoom: z.number().int().positive().default(8),
        tokenMs: z.number().nonnegative().default(5),
        tokens: z.number().int().positive().default(8),
        ignoresFence: z.boolean().default(false),
        servesBaseModel: z.boolean().default(false),
        reportLagMs: z.number().nonnegative().default(0),
    })).default([]),
    services: z.array(z.strictObject({
        id: z.string(),
        dataCentre: z.string(),
        service: z.string(),
        port: z.number().int().default(0),
    })).default([]),
});

/** See {@link fakesSettingsSchema}. */
export type FakesSettings = z.infer<typeof fakesSettingsSchema>;
/** {@link FakesSettings} in which settings with a default are optional. */
export type FakesOptions = z.input<typeof fakesSettingsSchema>;
