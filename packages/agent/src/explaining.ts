import { type OfferingsState, parseModelName } from "@radishreel/offerings";
import type { MessageOf } from "@radishreel/protocol";
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";

/** Longest wait for the placer's explanation, in milliseconds. */
const explainTimeoutMs = 1000;

/** Where a model is, for operators. */
export interface Explanation {
    readonly model: string;
    readonly isOffered: boolean;
    readonly baseModel: string | undefined;
    /** Agent that answered for the data centre; undefined if none could. */
    readonly placer: string | undefined;
    readonly placement: unknown;
}

/** Options of {@link Explainer}. */
export interface ExplainerOptions {
    readonly selfId: string;
    readonly readOfferings: () => OfferingsState;
    readonly readPlacerId: () => string | undefined;
    /** What this agent's own placer knows. */
    readonly explainHere: (model: string) => unknown;
    /** Returns false if the agent is not connected. */
    readonly sendToAgent: (id: string, message: MessageOf<"explain">) => boolean;
}

/** Answers operators' questions about models, asking the placer where that is another agent. */
export class Explainer {
    private readonly waiting = new Map<string, (explanation: unknown) => void>();

    constructor(private readonly options: ExplainerOptions) {}

    async explain(model: string): Promise<Explanation> {
        const { selfId, readOfferings, readPlacerId, explainHere } = this.options;
        const placer = readPlacerId();
        const name = parseModelName(model);
        const baseModel = name && readOfferings().findBaseModel(name);
        const placement = placer === selfId ? explainHere(model) : await this.askPlacer(placer, model);
        return { model, isOffered: baseModel !== undefined, baseModel, placer, placement };
    }

    /** Takes the placer's answer. */
    receive(message: MessageOf<"explained">): void {
        this.waiting.get(message.requestId)?.(message.explanation);
    }

    private async askPlacer(placer: string | undefined, model: string): Promise<unknown> {
        const requestId = randomUUID();
        if (placer === undefined || !this.options.sendToAgent(placer, { type: "explain", requestId, model })) {
            return undefined;
        }
        const answer = new Promise<unknown>(resolve => this.waiting.set(requestId, resolve));
        const explanation = await Promise.race([answer, sleep(explainTimeoutMs)]);
        this.waiting.delete(requestId);
        return explanation;
    }
}
