// A small deployment: the store, workers, two VMs, and the configuration that the operator has written.
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { findFreePort } from "./net.mjs";
import { Store } from "./store.mjs";
import { Vm } from "./vm.mjs";

/** The places of the deployment; VMs stand in the first two. */
export const zones = ["zu-depot", "sain-hall", "zu-yard", "ulaan-hall"];

const limits = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 4_194_304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15_000,
};

/** Creates a worker's entry in the store. */
export function createEntry(worker, { service, zone, slots, models = [] }) {
    const { address } = worker;
    return {
        service,
        address,
        zone,
        version: "v1",
        slots,
        state: "ready",
        "cold-remaining-ms": 0,
        stage: "both",
        models,
        sequence: 0,
    };
}

export class Deployment {
    store = new Store();
    workers = [];
    vms = [];

    constructor() {
        this.folder = mkdtempSync(path.join(tmpdir(), "review-"));
        for (const signal of ["SIGINT", "SIGTERM"]) {
            process.on(signal, () => {
                this.stop();
                process.exit(2);
            });
        }
    }

    /** Starts everything, and waits until the VMs are ready. */
    async start({ routes, services, workers, vmCount }) {
        await this.store.start();
        this.store.put("keyed.op", "config", { version: 7, routes, services, limits });
        for (const { worker, entry } of workers) {
            await worker.start();
            this.workers.push(worker);
            this.store.put("keyed.servers", worker.id, createEntry(worker, entry));
        }
        const { folder, store } = this;
        const hosts = Array.from({ length: vmCount }, (_, index) => `127.0.1.${index + 1}`);
        const ports = {
            callers: await findFreePort(hosts),
            ready: await findFreePort(hosts),
            control: await findFreePort(hosts),
            internal: await findFreePort(hosts),
        };
        this.vms = hosts.map((host, index) => {
            const zone = zones[index];
            return new Vm({ name: `front-${zone}-1`, zone, host, ports, folder, store });
        });
        const seeds = this.vms.map(vm => vm.seed);
        this.vms.forEach(vm => vm.start(seeds));
        await Promise.all(this.vms.map(vm => vm.waitUntilReady()));
    }

    /** Ends all processes that were started, and removes their files. */
    stop() {
        this.vms.forEach(vm => vm.stop());
        rmSync(this.folder, { recursive: true, force: true });
    }
}
