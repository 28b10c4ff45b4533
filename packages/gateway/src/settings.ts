import { z } from "zod";

const listenerSchema = z.strictObject({
    host: z.string().default("127.0.0.1"),
    /** 0 lets the operating system choose a free port. */
    port: z.number().int().min(0).max(65_535).default(0),
});

/** Settings of `radishreel-gateway`. Each setting is described in docs/reference/settings.md. */
export const gatewaySettingsSchema = z.strictObject({
    /** Name of this VM's gateway; stays the same after a restart. */
    id: z.string().min(1).max(64),
    dataCentre: z.string().min(1).max(64),
    /** Secret shared by all processes of the deployment. */
    secret: z.string().min(16, "expected a secret of at least 16 characters"),
    /** Addresses of the first agents to connect to; these agents report the other agents. */
    agents: z.array(z.string()).min(1),
    callers: listenerSchema.default(listenerSchema.parse({})),
    peers: listenerSchema.default(listenerSchema.parse({})),
    metrics: listenerSchema.default(listenerSchema.parse({})),
    /** Deadline for requests that specify none. If it is not set, requests without a deadline are refused. */
    defaultDeadlineMs: z.number().int().positive().optional(),
    maxBodyBytes: z.number().int().positive().default(1024 * 1024),
    /** Most bytes of bodies that are not complete, over all callers. */
    maxArrivingBytes: z.number().int().positive().default(32 * 1024 * 1024),
    /** Most connections to each of the listeners for callers and for peers. */
    maxConnections: z.number().int().positive().default(2000),
    /** Maximum time without a byte from an engine. */
    silenceMs: z.number().int().positive().default(10_000),
    /** Maximum time for which a caller may leave its response unread. */
    callerSilenceMs: z.number().int().positive().default(30_000),
    connectTimeoutMs: z.number().int().positive().default(1000),
    /** Maximum number of concurrent calls on one upstream of a plain service. */
    serviceConcurrency: z.number().int().positive().default(64),
    /** Time for the load balancer to notice a planned stop. */
    drainDelayMs: z.number().int().nonnegative().default(2000),
    /** Interval between lease renewals. */
    renewMs: z.number().int().positive().default(1000),
    /** Interval at which demand changes that are not urgent are sent to the placer. */
    countsMs: z.number().int().positive().default(5000),
    heartbeatMs: z.number().int().positive().default(1000),
    peerSilenceMs: z.number().int().positive().default(3000),
    tokenLifeMs: z.number().int().positive().default(3_600_000),
    logFormat: z.enum(["text", "json"]).default("text"),
});

/** See {@link gatewaySettingsSchema}. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
