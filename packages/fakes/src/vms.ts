import type { FakeListenerOptions } from "./listener.js";
import { type FakeRequest, type FakeResponse, FakeServer } from "./server.js";

/** VM in the fake list. */
export interface FakeVm {
    readonly id: string;
    readonly role: "entry" | "engine" | "service";
    readonly dataCentre: string;
    readonly address: string;
    readonly state: "live" | "leaving";
    readonly service?: string;
}

/** Fake of the platform's VM list. Operation: `list`. `PUT /vms` replaces the list. */
export class FakeVmList extends FakeServer {
    private vms: readonly FakeVm[] = [];

    constructor(options: FakeListenerOptions = {}) {
        super(options);
    }

    setVms(vms: readonly FakeVm[]): void {
        this.vms = vms;
    }

    protected findOperation(request: FakeRequest): string {
        return request.method === "PUT" ? "set" : "list";
    }

    protected async run(request: FakeRequest): Promise<FakeResponse> {
        if (request.method === "PUT") {
            this.vms = JSON.parse(request.body) as FakeVm[];
        }
        return { status: 200, body: { vms: this.vms } };
    }
}
