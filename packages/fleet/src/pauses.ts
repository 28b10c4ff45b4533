/**
 * Prompts from this size on are taken to hold up the streams beside them until something is learned, in tokens. With
 * events of 5 tokens a prompt of 14,000 made a third of the streams beside it pause for more than 400 ms, one of 20,000
 * nearly all, and one under 12,000 none (840 streams of a day under heavy load).
 */
const startTokens = 14_000;

/** Bounds of what is learned, in tokens: engines differ in how much they read between two tokens of an answer. */
const minTokens = 10_000;
const maxTokens = 100_000;

/**
 * How far one stream moves what is known. Up is quicker than down: a stream also pauses for other reasons, such as a
 * path that loses packets.
 */
const raiseFactor = 1.12;
const lowerFactor = 0.95;

/** Streams beside smaller prompts than this part of the threshold say nothing about it. */
const relevantShare = 0.6;

/** How long a prompt that was read is remembered, in milliseconds: as long as most streams last. */
const historyMs = 10_000;

/**
 * Learns from which size on a prompt makes the streams beside it pause for longer than they may: an engine reads prompts
 * in pieces between the tokens of its other requests, each piece slower the further on in a prompt it is.
 */
export class PauseThreshold {
    private known = startTokens;

    get tokens(): number {
        return this.known;
    }

    /**
     * Takes a stream that has ended.
     * @param largestPrompt Largest prompt that its engine read meanwhile, in tokens.
     * @param wasHeldUp Whether it paused for longer than it may.
     */
    record(largestPrompt: number, wasHeldUp: boolean): void {
        if (wasHeldUp && largestPrompt < this.known && largestPrompt > this.known * relevantShare) {
            this.known = Math.max(minTokens, this.known * lowerFactor);
        }
        if (!wasHeldUp && largestPrompt >= this.known) {
            this.known = Math.min(maxTokens, this.known * raiseFactor);
        }
    }
}

/** Sizes of the prompts that one engine has read lately. */
export class PromptHistory {
    private entries: { at: number; tokens: number; }[] = [];

    record(tokens: number, now: number): void {
        if (this.entries.at(-1)?.tokens === tokens) {
            this.entries.at(-1)!.at = now;
            return;
        }
        this.entries = this.entries.filter(({ at }) => now - at < historyMs);
        this.entries.push({ at: now, tokens });
    }

    /** Largest prompt that was being read at any time since then, in tokens. */
    findLargest(since: number): number {
        return Math.max(0, ...this.entries.filter(({ at }) => at >= since).map(({ tokens }) => tokens));
    }
}
