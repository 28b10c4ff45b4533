import { emptyVersion, OfferingsFold } from "@radishreel/offerings";
import type { EngineGrant, MessageOf, ServiceUpstream } from "@radishreel/protocol";
import { GatewayMetrics, type Logger, startMetricsServer } from "@radishreel/telemetry";
import type { LedgerRecord } from "@radishreel/tokens";
import { HttpEngineClient, HttpServiceClient, UpstreamConnections } from "@radishreel/upstreams";
import { formatIncarnation, type NodeIdentity } from "@radishreel/wire";
import type { Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { createMachine, interpret, state, transition } from "robot3";
import { BodyReader } from "./body.js";
import { readInstant } from "./clock.js";
import { ControlTask } from "./control.js";
import { DispatchTask } from "./dispatching.js";
import { forwardRequest } from "./forward.js";
import { createHandoverRoute, sendHandover } from "./handover.js";
import { HttpListener } from "./listener.js";
import { CallerRoutes } from "./routes.js";
import type { GatewaySettings } from "./settings.js";
import { TokenRegistry } from "./tokens.js";

/** Addresses on which a gateway listens, each as `host:port`. */
export interface GatewayAddresses {
    readonly callers: string;
    readonly peers: string;
    readonly metrics: string;
}

/** Lifecycle of a gateway. The readiness probe of the load balancer succeeds only in state `ready`. */
const gatewayMachine = createMachine("starting", {
    starting: state(transition("offerings", "ready"), transition("stop", "draining")),
    ready: state(transition("stop", "draining")),
    draining: state(transition("drained", "stopped")),
    stopped: state(),
});

/** Minimum time between two urgent demand messages, in milliseconds. */
const minDemandIntervalMs = 10;

/** Interval at which expired tokens are removed, in milliseconds. */
const tokenExpiryIntervalMs = 60_000;

/** Interval at which a draining gateway checks for open requests, in milliseconds. */
const drainPollMs = 20;

/** One gateway: connects the tasks and holds only the state of its own lifecycle. */
export class Gateway {
    private readonly lifecycle = interpret(gatewayMachine, () => {});
    private readonly metrics = new GatewayMetrics();
    private readonly fold = new OfferingsFold();
    private readonly incarnation = Date.now();
    private readonly connections: UpstreamConnections;
    private readonly control: ControlTask;
    private readonly engineDispatch: DispatchTask;
    private readonly serviceDispatch: DispatchTask;
    private readonly callers: HttpListener;
    private readonly peers: HttpListener;
    private readonly timers: NodeJS.Timeout[] = [];
    private tokens: TokenRegistry | undefined;
    private engines = new Map<string, EngineGrant>();
    private services = new Map<string, ServiceUpstream>();
    private peersAddress = "";
    private metricsServer: Server | undefined;
    private requestCount = 0;
    private draining: Promise<void> | undefined;
    private demandTimer: NodeJS.Timeout | undefined;
    private demandSentAt = 0;

    constructor(private readonly settings: GatewaySettings, private readonly logger: Logger) {
        const onRetry = this.metrics.recordRetry.bind(this.metrics);
        this.connections = new UpstreamConnections({ connectTimeoutMs: settings.connectTimeoutMs });
        this.engineDispatch = new DispatchTask({}, onRetry);
        this.serviceDispatch = new DispatchTask({}, onRetry);
        this.control = this.createControl();
        const routes = this.createRoutes();
        const onUnknown = routes.sendUnknownRoute.bind(routes);
        const { maxConnections } = settings;
        const handover = createHandoverRoute(
            settings.secret,
            settings.maxArrivingBytes,
            record => this.receiveHandover(record),
        );
        this.callers = new HttpListener({ ...settings.callers, routes: routes.list(false), onUnknown, maxConnections });
        this.peers = new HttpListener({
            ...settings.peers,
            routes: [...routes.list(true), handover],
            onUnknown,
            maxConnections,
        });
    }

    /** Starts listening. The gateway serves requests as soon as it has received offerings. */
    async start(): Promise<GatewayAddresses> {
        const { settings, logger } = this;
        const callers = await this.callers.start();
        this.peersAddress = await this.peers.start();
        this.tokens = this.createTokens();
        const metrics = await startMetricsServer({
            ...settings.metrics,
            registry: this.metrics.registry,
            isReady: () => this.lifecycle.machine.current === "ready",
        });
        this.metricsServer = metrics.server;
        this.control.start();
        this.timers.push(
            setInterval(() => this.sendDemand(false), settings.countsMs),
            setInterval(() => this.tokens?.expire(), tokenExpiryIntervalMs),
        );
        const addresses = { callers, peers: this.peersAddress, metrics: `${settings.metrics.host}:${metrics.port}` };
        logger.info("listening", addresses);
        return addresses;
    }

    /** Performs a planned stop without interrupting requests in progress. A second call waits for the same stop. */
    drain(): Promise<void> {
        this.draining ??= this.runDrain();
        return this.draining;
    }

    private async runDrain(): Promise<void> {
        this.lifecycle.send("stop");
        this.logger.info("draining");
        await sleep(this.settings.drainDelayMs);
        await this.callers.stop();
        await this.waitForRequests();
        await this.sendLedgers();
        await this.peers.stop();
        this.stopTasks();
        this.lifecycle.send("drained");
        this.logger.info("stopped");
    }

    private get isStopping(): boolean {
        return this.lifecycle.machine.current === "draining";
    }

    private get identity(): NodeIdentity {
        const { id, dataCentre } = this.settings;
        return { id, role: "gateway", dataCentre, incarnation: this.incarnation, address: this.peersAddress };
    }

    /** Identifies this gateway's incarnation in request tokens. */
    private get issuer(): string {
        return formatIncarnation(this.identity);
    }

    // Wiring.

    private createControl(): ControlTask {
        const { settings, fold, metrics, logger } = this;
        return new ControlTask({
            settings,
            self: () => this.identity,
            fold,
            metrics,
            logger,
            events: {
                onEngines: () => this.receiveEngines(),
                onServices: upstreams => this.receiveServices(upstreams),
                onOutlook: outlook => this.engineDispatch.setOutlook(outlook),
                onOfferings: () => this.receiveOfferings(),
                onPlacerChange: () => this.receivePlacerChange(),
                onHeirs: heirs => this.tokens?.recordHeirs(heirs),
            },
        });
    }

    private createRoutes(): CallerRoutes {
        const { settings, metrics, control, connections } = this;
        const shared = { metrics, control, callerSilenceMs: settings.callerSilenceMs };
        return new CallerRoutes({
            fold: this.fold,
            metrics,
            completions: {
                ...shared,
                dispatch: this.engineDispatch,
                engines: new HttpEngineClient(connections),
                silenceMs: settings.silenceMs,
                findAddress: engineId => this.engines.get(engineId)?.address,
                onArrival: () => this.scheduleDemand(),
            },
            calls: {
                ...shared,
                dispatch: this.serviceDispatch,
                services: new HttpServiceClient(connections),
                findAddress: upstreamId => this.services.get(upstreamId)?.address,
                onArrival: () => {},
            },
            tokens: () => this.readTokens(),
            secret: settings.secret,
            bodies: new BodyReader({ ...settings, maxBytes: settings.maxBodyBytes }),
            defaultDeadlineMs: settings.defaultDeadlineMs,
            createId: () => `${this.issuer}-${++this.requestCount}`,
            isStopping: () => this.isStopping,
        });
    }

    private createTokens(): TokenRegistry {
        const { secret, tokenLifeMs, silenceMs } = this.settings;
        return new TokenRegistry({
            secret,
            issuer: this.issuer,
            address: this.peersAddress,
            lifeMs: tokenLifeMs,
            forward: (address, request, response) =>
                forwardRequest(this.connections, secret, silenceMs, address, request, response),
        });
    }

    private readTokens(): TokenRegistry {
        if (this.tokens === undefined) {
            throw new Error("a request was received before the gateway started");
        }
        return this.tokens;
    }

    // Events from agents.

    private receiveOfferings(): void {
        const { stallWeight, trialBatchShare } = this.fold.offerings.policy;
        this.engineDispatch.setOptions({ stallWeight, trialBatchShare });
        this.metrics.offeringsVersion.set(this.fold.version);
        if (this.lifecycle.machine.current === "starting" && this.fold.isKnown) {
            this.lifecycle.send("offerings");
            this.logger.info("ready", { offerings: this.fold.version === emptyVersion ? "none" : this.fold.version });
        }
        this.logger.info("offerings in force", { version: this.fold.version });
    }

    private receiveEngines(): void {
        const grants = this.control.leases.listEngines(readInstant());
        this.engines = new Map(grants.map(grant => [grant.id, grant]));
        this.engineDispatch.setEngines(grants.map(grant => {
            const otherInFlight = this.control.readOtherInFlight(grant.id);
            return {
                id: grant.id,
                instance: grant.instance,
                batchRoom: grant.batchRoom,
                isLeaving: grant.isLeaving,
                models: grant.models,
                othersPaying: otherInFlight.paying,
                othersTrial: otherInFlight.trial,
            };
        }));
        this.scheduleDemand();
    }

    private receiveServices(upstreams: readonly ServiceUpstream[]): void {
        this.services = new Map(upstreams.map(upstream => [upstream.id, upstream]));
        this.serviceDispatch.setEngines(upstreams.map(upstream => ({
            id: upstream.id,
            instance: upstream.address,
            batchRoom: this.settings.serviceConcurrency,
            isLeaving: upstream.isLeaving,
            models: [upstream.service],
            othersPaying: 0,
            othersTrial: 0,
        })));
    }

    // Demand.

    private receivePlacerChange(): void {
        if (this.control.hasPlacer) {
            this.control.sendDemand(this.engineDispatch.readWholeDemand());
        }
    }

    /** Sends the first change after a pause at once; changes that follow within the minimum interval are batched. */
    private scheduleDemand(): void {
        if (this.demandTimer !== undefined) {
            return;
        }
        const sinceLastMs = performance.now() - this.demandSentAt;
        this.demandTimer = setTimeout(() => {
            this.demandTimer = undefined;
            this.demandSentAt = performance.now();
            this.sendDemand(true);
        }, Math.max(0, minDemandIntervalMs - sinceLastMs));
    }

    private sendDemand(isUrgent: boolean): void {
        if (!this.control.hasPlacer) {
            return;
        }
        const changes = this.engineDispatch.readDemand(isUrgent);
        if (changes.length > 0) {
            this.control.sendDemand(changes);
        }
    }

    // Stopping.

    private async waitForRequests(): Promise<void> {
        while (this.engineDispatch.openRequests + this.serviceDispatch.openRequests > 0) {
            await sleep(drainPollMs);
        }
    }

    private async sendLedgers(): Promise<void> {
        const records = this.readTokens().seal();
        const heir = await sendHandover(
            this.connections,
            this.settings.secret,
            this.control.listOtherGateways(),
            records,
            this.issuer,
        );
        if (heir === undefined) {
            this.logger.warn("no other gateway took over the request tokens");
            return;
        }
        this.logger.info("handed over request tokens", { heir });
    }

    /** Takes over token ledgers. Returns false if this gateway is stopping itself. */
    private receiveHandover(records: readonly LedgerRecord[]): boolean {
        if (this.isStopping) {
            return false;
        }
        for (const record of records) {
            this.readTokens().adopt(record);
        }
        const heirs: MessageOf<"heirs">["heirs"] = records.map(({ issuer, until }) => ({
            issuer,
            address: this.peersAddress,
            until,
        }));
        this.control.sendHeirs(heirs);
        this.readTokens().recordHeirs(heirs);
        this.logger.info("took over request tokens", { issuers: records.map(record => record.issuer) });
        return true;
    }

    private stopTasks(): void {
        this.timers.forEach(timer => clearInterval(timer));
        clearTimeout(this.demandTimer);
        this.engineDispatch.stop();
        this.serviceDispatch.stop();
        this.control.stop();
        this.metricsServer?.close();
        void this.connections.close();
    }
}
