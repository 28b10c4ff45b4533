import type { EngineLimits } from "@radishreel/routing";
import type { HeldModel } from "./types.js";

/** Load time of a model that the engine's limits do not list, in milliseconds: models take 0.6 to 2.9 s to load. */
export const defaultModelLoadMs = 1000;

/** Expected remaining time of an overdue load, in milliseconds: the owner requests a report every 250 ms. */
const overdueLoadMs = 250;

/** Options of {@link BaseModels}. */
export interface BaseModelsOptions {
    readonly limits: EngineLimits;
    /** Base models listed in the engine's registry entry. */
    readonly held: readonly HeldModel[];
}

/** A base model that the engine is loading. */
interface ModelLoad {
    readonly name: string;
    readonly acceptedAt: number;
}

/**
 * Tracks the base models of one engine. A new engine may hold no base model, and cannot load adapters until it does.
 */
export class BaseModels {
    private held: readonly HeldModel[];
    private load: ModelLoad | undefined;
    private hasReported = false;

    constructor(private readonly options: BaseModelsOptions) {
        this.held = options.held;
    }

    /** Whether the engine holds a base model, according to its last report. */
    has(name: string): boolean {
        return this.held.some(held => held.name === name);
    }

    /** Whether the engine has reported that it holds no base model at all. */
    get isEmpty(): boolean {
        return this.hasReported && this.held.length === 0;
    }

    /** Applies the engine's report. */
    update(held: readonly HeldModel[]): void {
        this.held = held;
        this.hasReported = true;
        if (this.load !== undefined && this.has(this.load.name)) {
            this.load = undefined;
        }
    }

    /** Records that the engine has accepted an order to load a model. */
    recordLoad(name: string, now: number): void {
        this.load = { name, acceptedAt: now };
    }

    /**
     * The base model that an empty engine loads without waiting for a request. Requests go to other engines as long as
     * this engine is empty, so that without this load the engine would stay empty. With several models the first
     * request decides which model is loaded.
     */
    findModelToPreload(): string | undefined {
        const { models } = this.options.limits;
        return this.isEmpty && models.length === 1 ? models[0]!.name : undefined;
    }

    /** Shortest load time of a model, in milliseconds: the engine may have the model on disk or in host memory. */
    readMinLoadMs(name: string): number {
        const model = this.options.limits.models.find(known => known.name === name);
        return model === undefined ? 0 : Math.min(model.loadMs, model.diskLoadMs, model.warmLoadMs);
    }

    /**
     * Expected time until an adapter of a model can be loaded, in milliseconds; 0 before the engine's first report.
     * @param name The model; undefined for any model.
     */
    readWaitMs(name: string | undefined, now: number): number {
        const isLoaded = name === undefined ? this.held.length > 0 : this.has(name);
        if (!this.hasReported || isLoaded) {
            return 0;
        }
        if (this.load !== undefined) {
            const loadMs = this.readLoadMs(this.load.name);
            return Math.max(overdueLoadMs, this.load.acceptedAt + loadMs - now);
        }
        return this.readLoadMs(name ?? this.findModelToPreload());
    }

    private readLoadMs(name: string | undefined): number {
        return this.options.limits.models.find(model => model.name === name)?.loadMs ?? defaultModelLoadMs;
    }
}
