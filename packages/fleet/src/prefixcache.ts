import type { ModelDemand, PromptPart } from "./types.js";

/**
 * Time after its last use for which a part is assumed to be cached, in milliseconds. Engines drop the least recently
 * used.
 */
const partLifetimeMs = 20_000;

/** Most parts tracked for one engine: an engine's memory holds some hundred parts of 2,000 tokens. */
const maxParts = 400;

/** Tracks which prompt parts each engine's prefix cache should hold, by the requests of this VM. */
export class PrefixCache {
    private readonly partsByEngine = new Map<string, Map<string, number>>();

    /** Records that an engine has read a request's prompt. */
    record(engine: string, demand: ModelDemand, now: number): void {
        const parts = this.partsByEngine.get(engine) ?? new Map<string, number>();
        this.partsByEngine.set(engine, parts);
        for (const part of demand.parts) {
            const key = formatPartKey(demand, part);
            parts.delete(key);
            parts.set(key, now);
        }
        for (const key of parts.keys()) {
            if (parts.size <= maxParts) {
                break;
            }
            parts.delete(key);
        }
    }

    /** Tokens at the start of a prompt that an engine has cached for this model and adapter. */
    countCachedTokens(engine: string, demand: ModelDemand, now: number): number {
        const parts = this.partsByEngine.get(engine);
        let tokens = 0;
        for (const part of demand.parts) {
            const usedAt = parts?.get(formatPartKey(demand, part));
            if (usedAt === undefined || now - usedAt > partLifetimeMs) {
                break;
            }
            tokens += part.tokens;
        }
        return tokens;
    }

    /** Drops the parts of an engine that no longer exists. */
    removeEngine(engine: string): void {
        this.partsByEngine.delete(engine);
    }
}

/** Cached parts are valid for one model and adapter only. */
function formatPartKey(demand: ModelDemand, part: PromptPart): string {
    return `${demand.model}/${demand.adapter ?? ""}/${part.id}`;
}
