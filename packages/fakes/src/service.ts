import type { ServerResponse } from "node:http";
import type { FaultRule } from "./faults.js";
import type { FakeListenerOptions } from "./listener.js";
import { type FakeRequest, type FakeResponse, FakeServer } from "./server.js";

/** Options of {@link FakeService}. */
export interface FakeServiceOptions extends FakeListenerOptions {
    readonly id: string;
}

/** Call that the service ran. */
export interface ServiceRun {
    readonly method: string;
    readonly path: string;
    readonly body: string;
    readonly callId: string | undefined;
}

/** Fake of a plain service, which records the calls that it runs. Operations: `call`, `status`. */
export class FakeService extends FakeServer {
    readonly runs: ServiceRun[] = [];
    readonly id: string;
    private readonly instance = `${Date.now()}-${Math.floor(Math.random() * 1e9)}`;
    private isLeaving = false;

    constructor(options: FakeServiceOptions) {
        super(options);
        this.id = options.id;
    }

    /** Announces from now on that the service is leaving. The service continues to serve. */
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
    ): Promise<FakeResponse> {
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
