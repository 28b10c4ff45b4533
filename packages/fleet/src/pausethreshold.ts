/**
 * Initial threshold, in tokens. With events of 5 tokens a prompt of 14,000 tokens makes a third of the concurrent
 * streams pause for more than 400 ms, a prompt of 20,000 nearly all, and a prompt under 12,000 none.
 */
const initialThresholdTokens = 14_000;

/** Bounds of the threshold, in tokens: engines differ in how much prompt they prefill between two output tokens. */
const minThresholdTokens = 10_000;
const maxThresholdTokens = 100_000;

/**
 * Factors by which one stream moves the threshold. It rises faster than it falls, since a stream also pauses for other
 * reasons, such as packet loss.
 */
const raiseFactor = 1.12;
const lowerFactor = 0.95;

/** Streams that pause beside a prompt smaller than this share of the threshold do not lower it. */
const relevantShare = 0.6;

/** How long a prefilled prompt is remembered, in milliseconds: as long as most streams last. */
const historyMs = 10_000;

/**
 * Learns the prompt size from which on a prompt makes concurrent streams pause for longer than allowed. An engine
 * prefills prompts in chunks between the output tokens of its other requests, and each chunk takes longer the later it
 * is in the prompt.
 */
export class PauseThreshold {
    private threshold = initialThresholdTokens;

    get tokens(): number {
        return this.threshold;
    }

    /**
     * Records a finished stream.
     * @param largestPrompt Largest prompt that the engine prefilled during the stream, in tokens.
     * @param hasLongPause Whether the stream paused for longer than allowed.
     */
    record(largestPrompt: number, hasLongPause: boolean): void {
        if (hasLongPause && largestPrompt < this.threshold && largestPrompt > this.threshold * relevantShare) {
            this.threshold = Math.max(minThresholdTokens, this.threshold * lowerFactor);
        }
        if (!hasLongPause && largestPrompt >= this.threshold) {
            this.threshold = Math.min(maxThresholdTokens, this.threshold * raiseFactor);
        }
    }
}

/** Sizes of the prompts that one engine has prefilled recently. */
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

    /** Largest prompt that was being prefilled at any time since `since`, in tokens. */
    findLargest(since: number): number {
        return Math.max(0, ...this.entries.filter(({ at }) => at >= since).map(({ tokens }) => tokens));
    }
}
