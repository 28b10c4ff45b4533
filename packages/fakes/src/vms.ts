import type { FakeOptions } from "./listener.js";
import { type FakeAnswer, type FakeRequest, FakeServer } from "./server.js";

/** One VM as the fake lists it. */
export interface FakeVm {
    readonly id: string;
    readonly role: "entry" | "engine" | "service";
    readonly dataCentre: string;
    readonly address: string;
    readonly state: "live" | "leaving";
    readonly service?: string;
}

/** Stand-in for the platform's list of VMs. Operation: `list`. `PUT /vms` replaces the list. */
export class FakeVmList extends FakeServer {
    private vms: readonly FakeVm[] = [];

    constructor(options: FakeOptions = {}) {
        super(options);
    }

    setVms(vms: readonly FakeVm[]): void {
        this.vms = vms;
    }

    protected findOperation(request: FakeRequest): string {
        return request.method === "PUT" ? "set" : "list";
    }

    protected async run(request: FakeRequest): Promise<FakeAnswer> {
        if (request.method === "PUT") {
            this.vms = JSON.parse(request.body) as FakeVm[];
        }
        return { status: 200, body: { vms: this.vms } };
    }
}
