import { prefillTokensPerMs } from "../enginecosts.js";
import type { UpstreamLoad } from "../types.js";
import { readClearSlowdown, SpeedEstimator } from "./estimator.js";

/**
 * Least expected time of the prompts of one observation, in milliseconds: delays of messages between VMs, some
 * milliseconds each, would distort shorter ones.
 */
const minExpectedMs = 60;

/** Duration of the decode step that produces the first token after a prompt, in milliseconds. */
const stepMs = 5;

/** Usual time of the admission's reply and of the message that the prompt is read, together, in milliseconds. */
const transitMs = 4;

/** Smallest relative change of the estimate that changes the published speed: each change is sent to all VMs. */
const minPublishedChange = 0.06;

/** Prompts that an engine has read since the last observation. */
interface Interval {
    startedAt: number;
    /** Expected time to read the prompts, in milliseconds. */
    expectedMs: number;
    /** Time in which the engine had prompts to read, in milliseconds. */
    busyMs: number;
    /** Whether a request ended before its prompt was known to be read, so that the work is unknown. */
    isSpoiled: boolean;
}

/** Options of {@link EngineSpeed}. */
export interface EngineSpeedOptions {
    /** Speed that the previous owner published. @default unknown */
    readonly initial?: number | undefined;
    /**
     * Speed relative to other engines of the service, by which costs are divided; undefined where the speeds do not
     * differ.
     * @default never differ
     */
    readonly readFactor?: ((now: number) => number | undefined) | undefined;
}

/**
 * Learns the speed of one engine from its admissions, at the owner: the time in which the engine had prompts to read,
 * against the prompts whose first events arrived in it. This needs no further message, and holds in whichever order the
 * engine reads prompts. Requests that wait behind one slow prompt do not count as several observations.
 */
export class EngineSpeed {
    private readonly estimator: SpeedEstimator;
    /** Tokens of the prompts that the engine has not read, in the order of admission. */
    private readonly prompts = new Map<string, number>();
    private published: number | undefined;
    /** When the engine last started to read prompts or finished one. */
    private busySince = 0;
    private interval: Interval | undefined;

    constructor(private readonly options: EngineSpeedOptions = {}) {
        this.published = options.initial;
        this.estimator = new SpeedEstimator(options);
    }

    /** Records the admission of a request. */
    begin(id: string, tokens: number, now: number): void {
        if (this.prompts.size === 0) {
            this.busySince = now + transitMs;
            this.interval ??= { startedAt: now, expectedMs: 0, busyMs: 0, isSpoiled: false };
        }
        this.prompts.set(id, tokens);
    }

    /** Records that a request's first event has arrived. */
    finish(id: string, now: number): void {
        const tokens = this.prompts.get(id);
        if (tokens === undefined || this.interval === undefined) {
            return;
        }
        this.prompts.delete(id);
        const { interval } = this;
        interval.expectedMs += tokens / prefillTokensPerMs + stepMs;
        interval.busyMs += Math.max(0, now - this.busySince);
        this.busySince = now;
        if (interval.expectedMs < minExpectedMs) {
            return;
        }
        if (!interval.isSpoiled) {
            this.estimator.record(interval.expectedMs / Math.max(1, interval.busyMs), now - interval.startedAt, now);
        }
        this.interval = this.prompts.size === 0
            ? undefined
            : { startedAt: now, expectedMs: 0, busyMs: 0, isSpoiled: false };
    }

    /** Records that a request ended, in case its first event was not reported. */
    cancel(id: string): void {
        if (this.prompts.delete(id) && this.interval !== undefined) {
            this.interval.isSpoiled = true;
        }
    }

    /** Lasting speed as a factor of the nominal speed, which changes only by clear steps; undefined if unknown. */
    read(): number | undefined {
        const speed = this.estimator.read();
        const isClear = speed !== undefined
            && (this.published === undefined || Math.abs(Math.log(speed / this.published)) > minPublishedChange);
        if (isClear) {
            this.published = Math.round(speed * 100) / 100;
        }
        return this.published;
    }

    /** Factor of queueing delays against those of an engine of median speed; 1 where the speeds do not differ. */
    readQueueFactor(now: number): number {
        const factor = this.options.readFactor?.(now);
        return factor === undefined ? 1 : this.readSlowdown(now) / factor;
    }

    /**
     * Load as it is reported to a VM that expected less: a transient slowdown counts as further prompt tokens, since it
     * is over before the VM receives the next status.
     */
    createReportedLoad(load: Readonly<UpstreamLoad>, now: number): UpstreamLoad {
        const hasEffect = this.options.readFactor?.(now) !== undefined;
        return { ...load, backlogTokens: load.backlogTokens * (hasEffect ? this.readSlowdown(now) : 1) };
    }

    /** Transient slowdown, by the latest first events and by how overdue the next one is; 1 if none. */
    private readSlowdown(now: number): number {
        const [tokens = 0] = this.prompts.values();
        const expectedMs = tokens / prefillTokensPerMs / (this.estimator.read() ?? Infinity);
        const overdue = tokens / prefillTokensPerMs < minExpectedMs || expectedMs === 0
            ? 1
            : readClearSlowdown((now - this.busySince) / expectedMs);
        return Math.max(overdue, this.estimator.readSlowdown(now));
    }
}
