import { z } from "zod";

const listenerSchema = z.strictObject({
    host: z.string().default("127.0.0.1"),
    /** 0 lets the system choose. */
    port: z.number().int().min(0).max(65_535).default(0),
});

/** Settings of `radishreel-gateway`. Every one is described in docs/reference/settings.md. */
export const gatewaySettingsSchema = z.strictObject({
    /** Name of this VM's gateway; the same after a restart. */
    id: z.string().min(1).max(64),
    dataCentre: z.string().min(1).max(64),
    /** Shared by all processes of the deployment. */
    secret: z.string().min(16, "expected a secret of at least 16 characters"),
    /** Addresses of agents to start from; the others are learnt from them. */
    agents: z.array(z.string()).min(1),
    callers: listenerSchema.default(listenerSchema.parse({})),
    peers: listenerSchema.default(listenerSchema.parse({})),
    metrics: listenerSchema.default(listenerSchema.parse({})),
    /** Deadline of requests without one; left out, such requests are refused. */
    defaultDeadlineMs: z.number().int().positive().optional(),
    maxBodyBytes: z.number().int().positive().default(1024 * 1024),
    /** Longest time without a byte from an engine. */
    silenceMs: z.number().int().positive().default(10_000),
    /** Longest time for which a caller may leave its answer unread. */
    callerSilenceMs: z.number().int().positive().default(30_000),
    connectTimeoutMs: z.number().int().positive().default(1000),
    /** Calls of plain services that run at once on one upstream. */
    serviceConcurrency: z.number().int().positive().default(64),
    /** How long the balancer is given to notice a planned stop. */
    drainDelayMs: z.number().int().nonnegative().default(2000),
    renewMs: z.number().int().positive().default(1000),
    /** Interval of counts that nobody waits for. */
    countsMs: z.number().int().positive().default(5000),
    heartbeatMs: z.number().int().positive().default(1000),
    peerSilenceMs: z.number().int().positive().default(3000),
    tokenLifeMs: z.number().int().positive().default(3_600_000),
    logFormat: z.enum(["text", "json"]).default("text"),
});

/** See {@link gatewaySettingsSchema}. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
