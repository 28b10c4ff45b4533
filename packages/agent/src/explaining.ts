import { type OfferingsState, parseModelName } from "@radishreel/offerings";
import type { MessageOf } from "@radishreel/protocol";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";

/** Maximum wait for the placer's reply, in milliseconds. */
const explainTimeoutMs = 1000;

/** Explanation for operators of where a model is loaded. */
export interface Explanation {
    readonly model: string;
    readonly isOffered: boolean;
    readonly baseModel: string | undefined;
    /** Placer of the data centre; undefined if there is none. */
    readonly placer: string | undefined;
    readonly placement: unknown;
}

/** Options of {@link Explainer}. */
export interface ExplainerOptions {
    readonly selfId: string;
    readonly readOfferings: () => OfferingsState;
    readonly readPlacerId: () => string | undefined;
    /** Returns the explanation of this agent's own placer. */
    readonly explainLocally: (model: string) => unknown;
    /** Returns false if the agent is not connected. */
    readonly sendToAgent: (id: string, message: MessageOf<"explain">) => boolean;
}

/** Explains to operators where models are loaded. Asks the placer if another agent is the placer. */
export class Explainer {
    private readonly pending = new Map<string, (explanation: unknown) => void>();

    constructor(private readonly options: ExplainerOptions) {}

    async explain(model: string): Promise<Explanation> {
        const { selfId, readOfferings, readPlacerId, explainLocally } = this.options;
        const placer = readPlacerId();
        const name = parseModelName(model);
        const baseModel = name && readOfferings().findBaseModel(name);
        const placement = placer === selfId ? explainLocally(model) : await this.askPlacer(placer, model);
        return { model, isOffered: baseModel !== undefined, baseModel, placer, placement };
    }

    /** Handles the placer's reply. */
    receive(message: MessageOf<"explained">): void {
        this.pending.get(message.requestId)?.(message.explanation);
    }

    private async askPlacer(placer: string | undefined, model: string): Promise<unknown> {
        const requestId = randomUUID();
        if (placer === undefined || !this.options.sendToAgent(placer, { type: "explain", requestId, model })) {
            return undefined;
        }
        const reply = new Promise<unknown>(resolve => this.pending.set(requestId, resolve));
        const explanation = await Promise.race([reply, sleep(explainTimeoutMs)]);
        this.pending.delete(requestId);
        return explanation;
    }
}
