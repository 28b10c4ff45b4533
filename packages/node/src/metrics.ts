import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { AccountVerdict } from "./accounts/index.js";
import type { LeaseEvent } from "./ownership/leasemessages.js";
import type { ConnectOutcome } from "./paths/index.js";
import type { LimitVerdict } from "./requests/limiter.js";
import type { RefusalReason } from "./requests/refusal.js";
import type { SilenceOutcome } from "./requests/successors.js";
import type { OriginSource } from "./streams/index.js";

/** Histogram buckets for the delay of timers, in seconds. The shortest latency target is about 0.12 s. */
const lagBucketsSeconds = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1];

/** Maximum number of accounts with a label of their own; requests of all further accounts share one label. */
const maxAccountLabels = 50;

/** Label of requests whose account is unknown or has no label of its own. */
const otherAccountLabel = "other";

/** Metrics of `radishreel-node`. */
export class NodeMetrics {
    readonly registry = new Registry();
    private readonly refusals = new Counter({
        name: "radishreel_node_refusals_total",
        help: "Requests that this program ended itself, by reason",
        labelNames: ["reason"] as const,
        registers: [this.registry],
    });
    private readonly cutResponses = new Counter({
        name: "radishreel_node_cut_responses_total",
        help: "Responses that this program cut off after they had begun, by reason",
        labelNames: ["reason"] as const,
        registers: [this.registry],
    });
    private readonly silences = new Counter({
        name: "radishreel_node_silences_total",
        help: "Times that an upstream sent nothing for so long that another one was looked for, by how they ended",
        labelNames: ["outcome"] as const,
        registers: [this.registry],
    });
    private readonly retries = new Counter({
        name: "radishreel_node_retries_total",
        help: "Attempts repeated inside the program, by what ended the one before",
        labelNames: ["after"] as const,
        registers: [this.registry],
    });
    private readonly retryClaims = new Counter({
        name: "radishreel_node_retry_claims_total",
        help: "Retries that requests claimed from the budget of their service, by whether they were granted",
        labelNames: ["service", "granted"] as const,
        registers: [this.registry],
    });
    private readonly resumptions = new Counter({
        name: "radishreel_node_resumed_streams_total",
        help: "Streams that callers resumed, by how this VM found where they began",
        labelNames: ["origin"] as const,
        registers: [this.registry],
    });
    private readonly streamRecords = new Gauge({
        name: "radishreel_node_stream_records",
        help: "Streams of which this VM knows where they began",
        registers: [this.registry],
    });
    private readonly unreadableRecords = new Counter({
        name: "radishreel_node_unreadable_records_total",
        help: "Records of the store that cannot be read, by topic",
        labelNames: ["topic"] as const,
        registers: [this.registry],
    });
    private readonly leaseEvents = new Counter({
        name: "radishreel_node_claims_total",
        help: "What happened to claims of engines, by event",
        labelNames: ["event"] as const,
        registers: [this.registry],
    });
    private readonly routingVersion = new Gauge({
        name: "radishreel_node_routing_version",
        help: "Version of the configuration in force",
        registers: [this.registry],
    });

    private readonly peerFrames = new Counter({
        name: "radishreel_node_peer_frames_total",
        help: "Heartbeats and messages between VMs, by type",
        labelNames: ["direction", "type"] as const,
        registers: [this.registry],
    });
    private readonly peerBytes = new Counter({
        name: "radishreel_node_peer_bytes_total",
        help: "Bytes between VMs, the framing included",
        labelNames: ["direction"] as const,
        registers: [this.registry],
    });
    private readonly storeCalls = new Counter({
        name: "radishreel_node_store_calls_total",
        help: "Calls to the store, refused and unanswered ones too, by what they ask",
        labelNames: ["kind"] as const,
        registers: [this.registry],
    });
    private readonly storeEra = new Gauge({
        name: "radishreel_node_store_era",
        help: "Newest known era of the store, which rises with each restore from an older copy",
        registers: [this.registry],
    });
    private readonly storeRestores = new Counter({
        name: "radishreel_node_store_restores_total",
        help: "Times that the store came back from an older copy of itself",
        registers: [this.registry],
    });
    private readonly unreadableEras = new Counter({
        name: "radishreel_node_store_eras_unreadable_total",
        help: "Responses of the store whose era is missing or cannot be read",
        registers: [this.registry],
    });
    private readonly choices = new Counter({
        name: "radishreel_node_choices_total",
        help: "Times that all upstreams of a service were compared for one request",
        registers: [this.registry],
    });
    private readonly redirects = new Counter({
        name: "radishreel_node_redirects_total",
        help: "Times that a request chose anew, since its engine was busier than this VM knew",
        registers: [this.registry],
    });
    private readonly upstreamEnds = new Counter({
        name: "radishreel_node_upstream_ends_total",
        help: "Upstreams whose process ended while requests of this VM ran there, by service",
        labelNames: ["service"] as const,
        registers: [this.registry],
    });
    private readonly upstreamBackoffs = new Counter({
        name: "radishreel_node_upstream_rests_total",
        help: "Answers by which an upstream asked this VM for rest",
        registers: [this.registry],
    });
    private readonly upstreamLimits = new Gauge({
        name: "radishreel_node_upstream_limits",
        help: "Upstreams that limit the requests per second of all VMs together, as far as this VM knows",
        registers: [this.registry],
    });
    private readonly unreadableLimits = new Counter({
        name: "radishreel_node_upstream_limits_unreadable_total",
        help: "Responses that name a limit in a form that cannot be read",
        registers: [this.registry],
    });
    private readonly limitVerdicts = new Counter({
        name: "radishreel_node_upstream_limit_claims_total",
        help: "Requests of this VM that claimed a part of an upstream's limit, by the verdict of the coordinator",
        labelNames: ["verdict"] as const,
        registers: [this.registry],
    });
    private readonly connections = new Counter({
        name: "radishreel_node_upstream_connections_total",
        help: "Connections to upstreams that this VM tried to open, by outcome",
        labelNames: ["outcome"] as const,
        registers: [this.registry],
    });
    private readonly suspectRequests = new Gauge({
        name: "radishreel_node_suspected_requests",
        help: "Requests under which upstreams have ended lately, as far as this VM knows",
        registers: [this.registry],
    });
    private readonly condemnedParts = new Gauge({
        name: "radishreel_node_condemned_prompt_parts",
        help: "Parts of prompts that are refused because upstreams ended under them",
        registers: [this.registry],
    });
    private readonly suspectRequestsDropped = new Gauge({
        name: "radishreel_node_suspected_requests_dropped",
        help: "Such requests that were forgotten for want of room since the start",
        registers: [this.registry],
    });
    private readonly accountRequests = new Counter({
        name: "radishreel_node_account_requests_total",
        help: "Requests of client accounts, by account and by what became of them when they came",
        labelNames: ["account", "verdict"] as const,
        registers: [this.registry],
    });
    private readonly accountLabels = new Set<string>();
    private readonly configurationAge = new Gauge({
        name: "radishreel_node_configuration_age_seconds",
        help: "Time since the configuration in force was known to be the newest",
        registers: [this.registry],
    });
    private readonly timerLag = new Histogram({
        name: "radishreel_node_timer_lag_seconds",
        help: "How late the timer of regular checks came",
        buckets: lagBucketsSeconds,
        registers: [this.registry],
    });

    constructor() {
        const registers = [this.registry];
        new Gauge({
            name: "radishreel_node_processor_seconds",
            help: "Processor time used since the start",
            registers,
            collect() {
                const { user, system } = process.cpuUsage();
                this.set((user + system) / 1e6);
            },
        });
    }

    recordAccountRequest(account: string | undefined, verdict: AccountVerdict): void {
        this.accountRequests.inc({ account: this.readAccountLabel(account), verdict });
    }

    /** @param ageMs Age in milliseconds; infinite before the first confirmation. */
    setConfigurationAge(ageMs: number): void {
        this.configurationAge.set(ageMs / 1000);
    }

    private readAccountLabel(account: string | undefined): string {
        if (account === undefined) {
            return otherAccountLabel;
        }
        if (!this.accountLabels.has(account) && this.accountLabels.size >= maxAccountLabels) {
            return otherAccountLabel;
        }
        this.accountLabels.add(account);
        return account;
    }

    /** @param isCut Whether the response had begun. @default false */
    recordRefusal(reason: RefusalReason, isCut = false): void {
        this.refusals.inc({ reason });
        if (isCut) {
            this.cutResponses.inc({ reason });
        }
    }

    recordSilence(outcome: SilenceOutcome): void {
        this.silences.inc({ outcome });
    }

    recordRetry(after: string): void {
        this.retries.inc({ after });
    }

    recordRetryClaim(service: string, isGranted: boolean): void {
        this.retryClaims.inc({ service, granted: String(isGranted) });
    }

    recordResumption(origin: OriginSource): void {
        this.resumptions.inc({ origin });
    }

    setStreamRecords(count: number): void {
        this.streamRecords.set(count);
    }

    recordFrame(direction: "sent" | "received", type: string): void {
        this.peerFrames.inc({ direction, type });
    }

    recordBytes(direction: "sent" | "received", count: number): void {
        this.peerBytes.inc({ direction }, count);
    }

    recordStoreCall(kind: string): void {
        this.storeCalls.inc({ kind });
    }

    recordRestore(): void {
        this.storeRestores.inc();
    }

    setStoreEra(era: number): void {
        this.storeEra.set(era);
    }

    recordUnreadableEra(): void {
        this.unreadableEras.inc();
    }

    recordChoice(): void {
        this.choices.inc();
    }

    recordRedirect(): void {
        this.redirects.inc();
    }

    recordBackoff(): void {
        this.upstreamBackoffs.inc();
    }

    setUpstreamLimits(count: number): void {
        this.upstreamLimits.set(count);
    }

    recordUnreadableLimit(): void {
        this.unreadableLimits.inc();
    }

    recordLimitVerdict(verdict: LimitVerdict): void {
        this.limitVerdicts.inc({ verdict });
    }

    recordConnection(outcome: ConnectOutcome | "tunnelled"): void {
        this.connections.inc({ outcome });
    }

    recordUpstreamEnd(service: string): void {
        this.upstreamEnds.inc({ service });
    }

    setCondemnedParts(count: number): void {
        this.condemnedParts.set(count);
    }

    setSuspectRequests(count: number, dropped: number): void {
        this.suspectRequests.set(count);
        this.suspectRequestsDropped.set(dropped);
    }

    recordTimerLag(ms: number): void {
        this.timerLag.observe(ms / 1000);
    }

    recordUnreadableRecord(topic: string): void {
        this.unreadableRecords.inc({ topic });
    }

    recordLeaseEvent(event: LeaseEvent): void {
        this.leaseEvents.inc({ event });
    }

    setRoutingVersion(version: number): void {
        this.routingVersion.set(version);
    }
}
