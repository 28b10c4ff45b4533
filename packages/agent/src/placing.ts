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
    /** Tells the placers of other data centres. */
    readonly sendShare: (message: MessageOf<"storeShare">) => void;
}

/** Interval at which the placer looks at its clock, in milliseconds. */
const tickMs = 100;

/** Ticks between two words to other data centres. */
const ticksPerShare = 10;

/** Ticks between two outlooks that have hardly changed; a gateway that has just come learns it then at the latest. */
const ticksPerOutlook = 50;

/** Least change of an outlook that is told at once, as a share of the one told before. */
const outlookChange = 0.25;

/** Drives the placer's decisions while this agent is the one responsible for its data centre. */
export class PlacerTask {
    private placer: Placer | undefined;
    private readonly share: StoreShare;
    private timer: NodeJS.Timeout | undefined;
    private ticks = 0;
    private policy: Policy | undefined;
    private toldWaitMs = -1;
    private toldLoading: string | undefined;

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
     * Becomes responsible, knowing nothing yet, or ceases to be. Returns whether that is a change.
     *
     * A new placer asks for everything: a node that noticed before it that the placer before is gone has told it already,
     * while it still passed such words on to the one that is gone, and would not tell it again.
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

    /** An engine has gone from the list. */
    removeEngine(engineId: string): void {
        this.run({ type: "engineGone", engineId });
    }

    /** Orders for the engine, or the words on how they ended, may have been lost. */
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
            readRate: (now: number) => this.share.readRate(now),
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
                isWanting: this.placer.isWanting,
            });
        }
        this.sendOutlook();
    }

    private sendOutlook(): void {
        const outlook = this.placer?.readOutlook(performance.now());
        if (outlook === undefined) {
            return;
        }
        const isChanged = Math.abs(outlook.payingWaitMs - this.toldWaitMs) > outlookChange * this.toldWaitMs;
        const isOtherLoad = outlook.loading !== this.toldLoading;
        if (isChanged || isOtherLoad || this.ticks % ticksPerOutlook === 0) {
            this.toldWaitMs = outlook.payingWaitMs;
            this.toldLoading = outlook.loading;
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
