import { type DispatchCommand, Dispatcher, type DispatchEvent } from "@radishreel/dispatch";
import { Placer, type PlacerCommand, type PlacerEvent } from "@radishreel/placement";
import type { TraceRequest } from "./trace.js";
import type { Policy, World } from "./world.js";

/** Delay of a message between two processes of a data centre, in milliseconds. */
const messageDelayMs = 1;

/** Options of {@link RadishreelPolicy}. */
export interface RadishreelPolicyOptions {
    readonly stallWeight: number;
    readonly trialBatchShare?: number;
    /** Gateways that share the requests. @default 3 */
    readonly gateways?: number;
    /** Minimum time between two reports of a gateway, in milliseconds. @default 10 */
    readonly exchangeIntervalMs?: number;
}

/** Policy with the dispatchers of several gateways and one placer, connected as in the gateway and agent programs. */
export class RadishreelPolicy implements Policy {
    readonly name: string;
    private readonly gateways: Dispatcher[];
    private readonly placer: Placer;
    private readonly gatewayByRequest = new Map<string, number>();
    private readonly exchangeIntervalMs: number;
    private arrivals = 0;
    private isExchangeScheduled = false;
    private exchangedAt = -Infinity;
    private models: string[][] = [];

    constructor(options: RadishreelPolicyOptions) {
        this.name = `ours (${options.stallWeight})`;
        this.exchangeIntervalMs = options.exchangeIntervalMs ?? 10;
        const { stallWeight, trialBatchShare } = options;
        this.gateways = Array.from(
            { length: options.gateways ?? 3 },
            () => new Dispatcher({ stallWeight, trialBatchShare }),
        );
        this.placer = new Placer({ stallWeight });
    }

    receiveArrival(request: TraceRequest, world: World): void {
        this.sendInitialEngines(world);
        const gateway = this.arrivals++ % this.gateways.length;
        this.gatewayByRequest.set(request.id, gateway);
        this.decide(gateway, { type: "arrive", request: { ...request, weight: 1 } }, world);
        this.scheduleExchange(world);
    }

    receiveEnd(request: TraceRequest, engine: number, world: World): void {
        const gateway = this.gatewayByRequest.get(request.id)!;
        this.gatewayByRequest.delete(request.id);
        this.decide(
            gateway,
            { type: "ended", requestId: request.id, engineId: String(engine), outcome: "complete" },
            world,
        );
        this.scheduleExchange(world);
    }

    receiveLoadEnd(engine: number, model: string, isLoaded: boolean, world: World): void {
        this.sendEngine(engine, world);
        this.runPlacer(
            { type: "loadEnded", engineId: String(engine), model, outcome: isLoaded ? "loaded" : "failed" },
            world,
        );
    }

    receiveEvicted(engine: number, _model: string, world: World): void {
        this.sendEngine(engine, world);
    }

    receiveRestart(engine: number, lost: readonly string[], world: World): void {
        for (const requestId of lost) {
            const gateway = this.gatewayByRequest.get(requestId)!;
            this.decide(gateway, { type: "ended", requestId, engineId: String(engine), outcome: "cancelled" }, world);
        }
        this.runPlacer({ type: "engineGone", engineId: String(engine) }, world);
        this.sendEngine(engine, world);
    }

    /** Exchanges the reports of gateways, owners and the placer, all together and with a short delay. */
    receiveWake(world: World): void {
        this.isExchangeScheduled = false;
        this.exchangedAt = world.now;
        for (let engine = 0; engine < world.options.engines; engine++) {
            this.sendEngine(engine, world);
        }
        this.gateways.forEach((dispatcher, gateway) => {
            const changes = dispatcher.readDemand(world.now);
            if (changes.length > 0) {
                this.runPlacer({ type: "demand", gateway: String(gateway), changes }, world);
            }
            this.decide(gateway, { type: "outlook", outlook: this.placer.readOutlook(world.now) }, world);
        });
    }

    private sendInitialEngines(world: World): void {
        if (this.models.length > 0) {
            return;
        }
        this.models = Array.from({ length: world.options.engines }, () => []);
        this.models.forEach((_models, engine) => this.sendEngine(engine, world));
    }

    private scheduleExchange(world: World): void {
        if (!this.isExchangeScheduled) {
            this.isExchangeScheduled = true;
            world.scheduleWake(Math.max(world.now + messageDelayMs, this.exchangedAt + this.exchangeIntervalMs));
        }
    }

    private sendEngine(engine: number, world: World): void {
        const id = String(engine);
        const { slots, batchRoom } = world.options;
        const models = world.listModels(engine);
        const loaded = models.filter(model => world.isLoaded(engine, model));
        const running = world.countRunning(engine);
        this.gateways.forEach((_dispatcher, gateway) => {
            const own = this.countRunningOf(gateway, engine);
            const lease = {
                id,
                instance: "1",
                batchRoom,
                isLeaving: false,
                models: loaded,
                othersPaying: running - own,
                othersTrial: 0,
            };
            this.decide(gateway, { type: "engine", engine: lease }, world);
        });
        this.runPlacer({
            type: "engine",
            engine: {
                id,
                slots,
                batchRoom,
                isLeaving: false,
                inFlight: world.countRunning(engine),
                models: models.map(model => ({
                    model,
                    state: world.isLoaded(engine, model) ? "loaded" : "loading",
                    inUse: world.countRunning(engine, model),
                })),
            },
        }, world);
    }

    private readonly runningCounts = new Map<string, number>();

    private countRunningOf(gateway: number, engine: number): number {
        return this.runningCounts.get(`${gateway} ${engine}`) ?? 0;
    }

    private decide(gateway: number, event: DispatchEvent, world: World): void {
        if (event.type === "ended") {
            this.runningCounts.set(
                `${gateway} ${event.engineId}`,
                this.countRunningOf(gateway, Number(event.engineId)) - 1,
            );
        }
        const commands = this.gateways[gateway]!.decide(event, world.now);
        commands.forEach(command => this.carryOut(gateway, command, world));
    }

    private carryOut(gateway: number, command: DispatchCommand, world: World): void {
        switch (command.type) {
            case "dispatch": {
                const engine = Number(command.engineId);
                if (!world.isLoaded(engine, command.request.model)) {
                    // The grant predates the eviction: the engine refuses the request, and the gateway retries it.
                    const requestId = command.request.id;
                    this.runningCounts.set(`${gateway} ${engine}`, this.countRunningOf(gateway, engine) + 1);
                    this.decide(gateway, {
                        type: "ended",
                        requestId,
                        engineId: command.engineId,
                        outcome: "notRun",
                        reason: "leaseLapsed",
                    }, world);
                    return;
                }
                this.runningCounts.set(`${gateway} ${engine}`, this.countRunningOf(gateway, engine) + 1);
                world.dispatch(command.request.id, engine);
                return;
            }
            case "refuse":
                this.gatewayByRequest.delete(command.request.id);
                world.refuse(command.request.id, command.verdict.reason);
                return;
            case "retry":
        }
    }

    private runPlacer(event: PlacerEvent, world: World): void {
        this.placer.decide(event, world.now).forEach(command => this.carryOutOrder(command, world));
    }

    private carryOutOrder({ type, engineId, model }: PlacerCommand, world: World): void {
        const engine = Number(engineId);
        if (type === "load") {
            world.load(engine, model);
            return;
        }
        if (world.isLoaded(engine, model)) {
            world.evict(engine, model);
            this.sendEngine(engine, world);
        }
    }
}
