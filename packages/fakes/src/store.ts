import type { FakeOptions } from "./listener.js";
import { type FakeAnswer, type FakeRequest, FakeServer } from "./server.js";

/** Options of {@link FakeWeightStore}. */
export interface FakeWeightStoreOptions extends FakeOptions {
    /** Loads a second at full speed, one at a time. @default 20 */
    readonly loadsPerSecond?: number;
}

const defaultLoadsPerSecond = 20;

/**
 * Stand-in for the weight store: one load at a time runs at full speed, and loads at the same time share that speed.
 * Operation: `fetch`.
 */
export class FakeWeightStore extends FakeServer {
    private readonly loadMs: number;
    private readonly active = new Set<{ remainingMs: number; done: () => void; }>();
    private lastAt = 0;
    private timer: NodeJS.Timeout | undefined;

    constructor(options: FakeWeightStoreOptions = {}) {
        super(options);
        this.loadMs = 1000 / (options.loadsPerSecond ?? defaultLoadsPerSecond);
    }

    protected findOperation(): string {
        return "fetch";
    }

    protected async run(request: FakeRequest): Promise<FakeAnswer> {
        await new Promise<void>(resolve => {
            this.advance();
            this.active.add({ remainingMs: this.loadMs, done: resolve });
            this.schedule();
        });
        return { status: 200, body: { weights: request.path } };
    }

    private advance(): void {
        const now = performance.now();
        const each = this.active.size === 0 ? 0 : (now - this.lastAt) / this.active.size;
        this.lastAt = now;
        for (const load of this.active) {
            load.remainingMs -= each;
            if (load.remainingMs <= 0.01) {
                this.active.delete(load);
                load.done();
            }
        }
    }

    private schedule(): void {
        clearTimeout(this.timer);
        const shortest = Math.min(...[...this.active].map(load => load.remainingMs));
        if (!Number.isFinite(shortest)) {
            return;
        }
        this.timer = setTimeout(() => {
            this.advance();
            this.schedule();
        }, shortest * this.active.size);
    }
}
