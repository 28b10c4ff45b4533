import { z } from "zod";

const listenerSchema = z.strictObject({
    host: z.string().default("127.0.0.1"),
    /** 0 lets the operating system choose a free port. */
    port: z.number().int().min(0).max(65_535).default(0),
});

/** Settings of `radishreel-agent`. Each setting is described in docs/reference/settings.md. */
export const agentSettingsSchema = z.strictObject({
    /** Name of this VM's agent; stays the same after a restart. */
    id: z.string().min(1).max(64),
    dataCentre: z.string().min(1).max(64),
    /** Secret shared by all processes of the deployment. */
    secret: z.string().min(16, "expected a secret of at least 16 characters"),
    /** Addresses of agents to connect to, besides those in the platform's list of VMs. */
    agents: z.array(z.string()).default([]),
    peers: listenerSchema.default(listenerSchema.parse({})),
    operators: listenerSchema.default(listenerSchema.parse({})),
    metrics: listenerSchema.default(listenerSchema.parse({})),
    /** Most connections to each of the listeners for peers and for operators. */
    maxConnections: z.number().int().positive().default(2000),
    /** SHA-256 digests of operators' keys, in lower-case hexadecimal. */
    operatorKeyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/)).default([]),
    /** `host:port` of the platform's log. */
    log: z.string(),
    /** `host:port` of the platform's list of VMs. */
    vmList: z.string(),
    /** How long a read of the log waits for a new record. */
    logWaitMs: z.number().int().positive().default(5000),
    platformTimeoutMs: z.number().int().positive().default(2000),
    vmListMs: z.number().int().positive().default(2000),
    /** Interval at which the status of upstreams is requested. */
    statusMs: z.number().int().positive().default(500),
    leaseMs: z.number().int().positive().default(3000),
    /** Maximum age of the counts of running requests that engines report. */
    reportLagMs: z.number().int().nonnegative().default(1000),
    loadTimeoutMs: z.number().int().positive().default(60_000),
    /** How long an apply waits for all nodes before it reports which data centres are behind. */
    applyWaitMs: z.number().int().positive().default(8000),
    /** Age at which the offerings are written to the log again; at most a third of the log's retention. */
    snapshotMs: z.number().int().positive().default(6 * 3_600_000),
    heartbeatMs: z.number().int().positive().default(1000),
    peerSilenceMs: z.number().int().positive().default(3000),
    logFormat: z.enum(["text", "json"]).default("text"),
});

/** See {@link agentSettingsSchema}. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
