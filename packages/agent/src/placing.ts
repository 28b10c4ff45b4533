import type { Policy } from "@radishreel/offerings";
import {
    type EngineSummary,
    type LoadOutcome,
    type PlacementExplanation,
    Placer,
    type PlacerEvent,
    StoreShare,
} from "@radishreel/placement";
import type { MessageOf, OutgoingMessage } from "@radishreel/protocol";

/** Options of {@link PlacerTask}. */
export interface PlacerTaskOptions {
    readonly dataCentre: string;
    readonly loadTimeoutMs: number;
    /** Sends an order to the owner of its engine. */
    readonly sendOrder: (order: MessageOf<"order">) => void;
    readonly sendToGateways: (message: OutgoingMessage) => void;
    /** Sends to the other agents of the data centre. */
    readonly sendToAgents: (message: OutgoingMessage) => void;
    /** Sends to all agents whether this data centre needs loads from the weight store. */
    readonly sendShare: (message: MessageOf<"storeShare">) => void;
}

/** Interval of the placer's timer events, in milliseconds. */
const tickMs = 100;

/** Number of ticks between two share messages to other data centres. */
const ticksPerShare = 10;

/** Number of ticks between two outlooks that have hardly changed, so that new gateways receive an outlook too. */
const ticksPerOutlook = 50;

/** Minimum change of an outlook that is sent at once, as a share of the wait that was last sent. */
const minOutlookChange = 0.25;

/** Drives the placer's decisions while this agent is the placer of its data centre. */
export class PlacerTask {
    private placer: Placer | undefined;
    private readonly share: StoreShare;
    private timer: NodeJS.Timeout | undefined;
    private ticks = 0;
    private policy: Policy | undefined;
    private lastSentWaitMs = -1;
    private lastSentLoading: string | undefined;

    constructor(private readonly options: PlacerTaskOptions) {
        this.share = new StoreShare({ dataCentre: options.dataCentre, loadsPerSecond: 2, weights: {} });
    }

    start(): void {
        this.timer = setInterval(() => this.runTick(), tickMs);
    }

    stop(): void {
        clearInterval(this.timer);
        this.placer = undefined;
    }

    get isActive(): boolean {
        return this.placer !== undefined;
    }

    /**
     * Starts or stops being the placer. Returns whether this is a change.
     *
     * A new placer has no state and asks all nodes for theirs. A node that detected the change earlier sent its
     * state while this agent still forwarded it to the previous placer, and would not send it again.
     */
    setActive(isActive: boolean): boolean {
        if (isActive === this.isActive) {
            return false;
        }
        this.placer = isActive ? new Placer(this.createOptions()) : undefined;
        if (isActive) {
            this.options.sendToGateways({ type: "askState" });
            this.options.sendToAgents({ type: "askState" });
        }
        return true;
    }

    setPolicy(policy: Policy, dataCentres: readonly string[]): void {
        this.policy = policy;
        this.share.setOptions({
            dataCentre: this.options.dataCentre,
            loadsPerSecond: policy.storeLoadsPerSecond,
            weights: policy.storeShares,
        });
        dataCentres.forEach(dataCentre => this.share.addDataCentre(dataCentre));
        this.placer?.setOptions(this.createOptions());
    }

    receiveSummaries(engines: readonly EngineSummary[]): void {
        for (const engine of engines) {
            this.run({ type: "engine", engine });
        }
    }

    /** Removes an engine that is no longer in the list of VMs. */
    removeEngine(engineId: string): void {
        this.run({ type: "engineGone", engineId });
    }

    /** Drops the open orders for an engine, because the orders or their outcomes may have been lost. */
    removeOrders(engineId: string): void {
        this.run({ type: "ordersLost", engineId });
    }

    receiveDemand(message: MessageOf<"demand">): void {
        this.run({ type: "demand", gateway: message.gateway, changes: message.changes });
    }

    removeGateway(gateway: string): void {
        this.run({ type: "gatewayGone", gateway });
    }

    receiveLoadEnded(engineId: string, model: string, outcome: LoadOutcome): void {
        this.run({ type: "loadEnded", engineId, model, outcome });
    }

    receiveShare(message: MessageOf<"storeShare">): void {
        this.share.receive(message.dataCentre, message.isWanting, performance.now());
    }

    explain(model: string): PlacementExplanation | undefined {
        return this.placer?.explain(model, performance.now());
    }

    private createOptions() {
        return {
            stallWeight: this.policy?.stallWeight,
            trialSlotShare: this.policy?.trialSlotShare,
            readRate: (now: number) => this.share.readLoadRate(now),
            loadTimeoutMs: this.options.loadTimeoutMs,
        };
    }

    private run(event: PlacerEvent): void {
        for (const { type, engineId, model } of this.placer?.decide(event, performance.now()) ?? []) {
            this.options.sendOrder({ type: "order", action: type, engineId, model });
        }
    }

    private runTick(): void {
        if (this.placer === undefined) {
            return;
        }
        this.run({ type: "tick" });
        this.ticks++;
        if (this.ticks % ticksPerShare === 0) {
            this.options.sendShare({
                type: "storeShare",
                dataCentre: this.options.dataCentre,
                isWanting: this.placer.hasLoadRequests,
            });
        }
        this.sendOutlook();
    }

    private sendOutlook(): void {
        const outlook = this.placer?.readOutlook(performance.now());
        if (outlook === undefined) {
            return;
        }
        const hasWaitChanged =
            Math.abs(outlook.payingWaitMs - this.lastSentWaitMs) > minOutlookChange * this.lastSentWaitMs;
        const hasLoadingChanged = outlook.loading !== this.lastSentLoading;
        if (hasWaitChanged || hasLoadingChanged || this.ticks % ticksPerOutlook === 0) {
            this.lastSentWaitMs = outlook.payingWaitMs;
            this.lastSentLoading = outlook.loading;
            this.options.sendToGateways({
                type: "outlook",
                payingWaitMs: Math.round(outlook.payingWaitMs),
                trialWaitMs: Math.round(outlook.trialWaitMs),
                loadMs: Math.round(outlook.loadMs),
                loading: outlook.loading,
            });
        }
    }
}
