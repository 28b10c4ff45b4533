import type { EngineLimits } from "@radishreel/routing";
import type { HeldModel } from "./types.js";

/** Load time of a model of which nothing is known, in milliseconds: one takes 0.6 to 2.9 s by the users' sheets. */
export const usualModelLoadMs = 1000;

/** Rest of a load that has lasted longer than expected, in milliseconds: reports are asked for every 250 ms. */
const overdueMs = 250;

/** Options of {@link BaseModels}. */
export interface BaseModelsOptions {
    readonly limits: EngineLimits;
    /** What the engine's entry says that it holds. */
    readonly held: readonly HeldModel[];
}

/** A model on its way to the engine. */
interface ModelLoad {
    readonly name: string;
    readonly orderedAt: number;
}

/** The base models of one engine. One that has just been added may hold none, and then can load no adapter. */
export class BaseModels {
    private held: readonly HeldModel[];
    private load: ModelLoad | undefined;
    private hasReported = false;

    constructor(private readonly options: BaseModelsOptions) {
        this.held = options.held;
    }

    /** Whether the engine holds a base model, as far as it has reported. */
    has(name: string): boolean {
        return this.held.some(held => held.name === name);
    }

    /** Whether the engine has reported that it holds no base model at all. */
    get isEmpty(): boolean {
        return this.hasReported && this.held.length === 0;
    }

    /** Takes the engine's report. */
    update(held: readonly HeldModel[]): void {
        this.held = held;
        this.hasReported = true;
        if (this.load !== undefined && this.has(this.load.name)) {
            this.load = undefined;
        }
    }

    /** Takes word that the engine has accepted to load a model. */
    recordLoad(name: string, now: number): void {
        this.load = { name, orderedAt: now };
    }

    /**
     * The model that an empty engine is to load before anybody asks for it: its requests go to other engines as long as it has
     * none, so that it would stay empty. With several models it is the requests that tell which one is wanted.
     */
    findMissing(): string | undefined {
        const { models } = this.options.limits;
        return this.isEmpty && models.length === 1 ? models[0]!.name : undefined;
    }

    /** Shortest time in which a model can be there, in milliseconds: an engine may have it on its disk, or in memory. */
    readShortestMs(name: string): number {
        const model = this.options.limits.models.find(known => known.name === name);
        return model === undefined ? 0 : Math.min(model.loadMs, model.diskLoadMs, model.warmLoadMs);
    }

    /**
     * Expected time until an adapter of a model can be loaded, in milliseconds; 0 before the engine has reported.
     * @param name The model; undefined for any.
     */
    readWaitMs(name: string | undefined, now: number): number {
        const isThere = name === undefined ? this.held.length > 0 : this.has(name);
        if (!this.hasReported || isThere) {
            return 0;
        }
        if (this.load !== undefined) {
            const loadMs = this.readLoadMs(this.load.name);
            return Math.max(overdueMs, this.load.orderedAt + loadMs - now);
        }
        return this.readLoadMs(name ?? this.findMissing());
    }

    private readLoadMs(name: string | undefined): number {
        return this.options.limits.models.find(model => model.name === name)?.loadMs ?? usualModelLoadMs;
    }
}
