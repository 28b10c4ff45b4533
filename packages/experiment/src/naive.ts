import { findOwner } from "@radishreel/membership";
import type { TraceRequest } from "./trace.js";
import type { Policy, World } from "./world.js";

/** Options in which the two naive policies differ. */
interface NaiveOptions {
    readonly name: string;
    readonly chooseEngine: (request: TraceRequest, count: number, engines: number) => number;
    /** Whether paying requests have priority, for dispatch and for loads. */
    readonly hasPriority: boolean;
}

/**
 * Assigns each request to an engine on arrival. Each engine evicts its least recently used model. One load runs at a
 * time, in the order of the queue.
 */
class NaivePolicy implements Policy {
    private readonly queue: { request: TraceRequest; engine: number; }[] = [];
    private readonly usedAt = new Map<string, number>();
    private isLoading = false;
    private arrivals = 0;

    constructor(private readonly options: NaiveOptions) {}

    get name(): string {
        return this.options.name;
    }

    receiveArrival(request: TraceRequest, world: World): void {
        const engine = this.options.chooseEngine(request, this.arrivals++, world.options.engines);
        this.queue.push({ request, engine });
        if (this.options.hasPriority) {
            // A stable sort keeps the order of arrival within a class.
            this.queue.sort((left, right) => rankClass(left.request) - rankClass(right.request));
        }
        this.serve(world);
    }

    receiveEnd(_request: TraceRequest, _engine: number, world: World): void {
        this.serve(world);
    }

    receiveLoadEnd(_engine: number, _model: string, _isLoaded: boolean, world: World): void {
        this.isLoading = false;
        this.serve(world);
    }

    receiveEvicted(_engine: number, _model: string, world: World): void {
        this.serve(world);
    }

    receiveRestart(_engine: number, _lost: readonly string[], world: World): void {
        this.isLoading = false;
        this.serve(world);
    }

    receiveWake(world: World): void {
        this.serve(world);
    }

    private serve(world: World): void {
        let position = 0;
        while (position < this.queue.length) {
            const { request, engine } = this.queue[position]!;
            if (request.deadlineAt <= world.now) {
                this.queue.splice(position, 1);
                world.refuse(request.id, "deadlinePassed");
                continue;
            }
            if (world.isLoaded(engine, request.model) && world.countRunning(engine) < world.options.batchRoom) {
                this.queue.splice(position, 1);
                this.usedAt.set(`${engine} ${request.model}`, world.now);
                world.dispatch(request.id, engine);
                continue;
            }
            position++;
        }
        this.startLoad(world);
    }

    private startLoad(world: World): void {
        if (this.isLoading) {
            return;
        }
        for (const { request, engine } of this.queue) {
            if (world.listModels(engine).includes(request.model)) {
                continue;
            }
            if (world.listModels(engine).length < world.options.slots) {
                this.isLoading = true;
                world.load(engine, request.model);
                return;
            }
            if (this.startEviction(engine, world)) {
                return;
            }
        }
    }

    private startEviction(engine: number, world: World): boolean {
        const models = world.listModels(engine);
        if (models.some(model => !world.isLoaded(engine, model))) {
            return false;
        }
        const idle = models.filter(model => world.countRunning(engine, model) === 0);
        idle.sort((left, right) => this.readUsedAt(engine, left) - this.readUsedAt(engine, right));
        const [candidate] = idle;
        if (candidate === undefined) {
            return false;
        }
        world.evict(engine, candidate);
        return true;
    }

    private readUsedAt(engine: number, model: string): number {
        return this.usedAt.get(`${engine} ${model}`) ?? 0;
    }
}

function rankClass(request: TraceRequest): number {
    return request.accountClass === "paying" ? 0 : 1;
}

/** Creates a policy with round robin over the engines and one queue in the order of arrival. */
export function createRoundRobinPolicy(): Policy {
    return new NaivePolicy({
        name: "naive A",
        chooseEngine: (_request, count, engines) => count % engines,
        hasPriority: false,
    });
}

/** Creates a policy that assigns each adapter to one engine by hashing and gives paying requests priority. */
export function createHashingPolicy(): Policy {
    return new NaivePolicy({
        name: "naive B",
        chooseEngine: (request, _count, engines) =>
            Number(findOwner(request.model, Array.from({ length: engines }, (_, index) => String(index)))),
        hasPriority: true,
    });
}
