import type { FakeListenerOptions } from "./listener.js";
import { type FakeRequest, type FakeResponse, FakeServer } from "./server.js";

/** Options of {@link FakeWeightStore}. */
export interface FakeWeightStoreOptions extends FakeListenerOptions {
    /** Loads per second, one after the other. @default 20 */
    readonly loadsPerSecond?: number;
}

const defaultLoadsPerSecond = 20;

/**
 * Fake weight store. Concurrent loads share its speed equally.
 * Operation: `fetch`.
 */
export class FakeWeightStore extends FakeServer {
    private readonly loadMs: number;
    private readonly activeLoads = new Set<{ remainingMs: number; done: () => void; }>();
    private lastAt = 0;
    private timer: NodeJS.Timeout | undefined;

    constructor(options: FakeWeightStoreOptions = {}) {
        super(options);
        this.loadMs = 1000 / (options.loadsPerSecond ?? defaultLoadsPerSecond);
    }

    protected findOperation(): string {
        return "fetch";
    }

    protected async run(request: FakeRequest): Promise<FakeResponse> {
        await new Promise<void>(resolve => {
            this.advance();
            this.activeLoads.add({ remainingMs: this.loadMs, done: resolve });
            this.schedule();
        });
        return { status: 200, body: { weights: request.path } };
    }

    private advance(): void {
        const now = performance.now();
        const elapsedPerLoadMs = this.activeLoads.size === 0 ? 0 : (now - this.lastAt) / this.activeLoads.size;
        this.lastAt = now;
        for (const load of this.activeLoads) {
            load.remainingMs -= elapsedPerLoadMs;
            if (load.remainingMs <= 0.01) {
                this.activeLoads.delete(load);
                load.done();
            }
        }
    }

    private schedule(): void {
        clearTimeout(this.timer);
        const shortestRemainingMs = Math.min(...[...this.activeLoads].map(load => load.remainingMs));
        if (!Number.isFinite(shortestRemainingMs)) {
            return;
        }
        this.timer = setTimeout(() => {
            this.advance();
            this.schedule();
        }, shortestRemainingMs * this.activeLoads.size);
    }
}
