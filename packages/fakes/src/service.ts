import type { ServerResponse } from "node:http";
import type { FaultRule } from "./faults.js";
import type { FakeOptions } from "./listener.js";
import { type FakeAnswer, type FakeRequest, FakeServer } from "./server.js";

/** Options of {@link FakeService}. */
export interface FakeServiceOptions extends FakeOptions {
    readonly id: string;
}

/** One call that the service acted on. */
export interface ServiceRun {
    readonly method: string;
    readonly path: string;
    readonly body: string;
    readonly callId: string | undefined;
}

/** Stand-in for a plain service. It records what it ran. Operations: `call`, `status`. */
export class FakeService extends FakeServer {
    readonly runs: ServiceRun[] = [];
    readonly id: string;
    private readonly instance = `${Date.now()}-${Math.floor(Math.random() * 1e9)}`;
    private isLeaving = false;

    constructor(options: FakeServiceOptions) {
        super(options);
        this.id = options.id;
    }

    /** Says from now on that it leaves. It goes on serving. */
    setLeaving(): void {
        this.isLeaving = true;
    }

    protected findOperation(request: FakeRequest): string {
        return request.path === "/status" || request.path === "/runs" ? "status" : "call";
    }

    protected async run(
        request: FakeRequest,
        _response: ServerResponse,
        _fault: FaultRule | undefined,
    ): Promise<FakeAnswer> {
        if (request.path === "/status") {
            return { status: 200, body: { instance: this.instance, state: this.isLeaving ? "leaving" : "live" } };
        }
        if (request.path === "/runs") {
            return { status: 200, body: { runs: this.runs } };
        }
        if (request.path === "/leave") {
            this.setLeaving();
            return { status: 200, body: {} };
        }
        const { method, path, body } = request;
        const callId = request.headers["x-call-id"];
        this.runs.push({ method, path, body, callId: typeof callId === "string" ? callId : undefined });
        return {
            status: 200,
            headers: { "x-served-by": this.id },
            body: { service: this.id, method, path, ran: this.runs.length, echo: body },
        };
    }
}
