import { FakeEngine } from "./engine.js";
import { FakeLog } from "./log.js";
import { FakeService } from "./service.js";
import type { FakesSettings } from "./settings.js";
import { FakeWeightStore } from "./store.js";
import { type FakeVm, FakeVmList } from "./vms.js";

/** Addresses that the fakes listen on, as `radishreel-fakes` prints them; engines and services by id. */
export interface FakesAddresses {
    readonly log: string;
    readonly vmList: string;
    readonly store: string;
    readonly engines: Record<string, string>;
    readonly services: Record<string, string>;
}

/** Running fakes of one process. */
export interface RunningFakes {
    readonly addresses: FakesAddresses;
    readonly log: FakeLog;
    readonly vmList: FakeVmList;
    readonly engines: FakeEngine[];
    readonly services: FakeService[];
    stop(): Promise<void>;
}

/** Starts the fakes and lists the engines and services in the fake VM list. */
export async function startFakes(settings: FakesSettings): Promise<RunningFakes> {
    const { host } = settings;
    const log = new FakeLog({ host, port: settings.logPort });
    const vmList = new FakeVmList({ host, port: settings.vmListPort });
    const store = new FakeWeightStore({ host, port: settings.storePort, loadsPerSecond: settings.storeLoadsPerSecond });
    await Promise.all([log.start(), vmList.start(), store.start()]);
    const vms: FakeVm[] = [];
    const engines: FakeEngine[] = [];
    for (const { dataCentre, ...options } of settings.engines) {
        const engine = new FakeEngine({ ...options, host, store: store.address });
        const address = await engine.start();
        engines.push(engine);
        vms.push({ id: options.id, role: "engine", dataCentre, address, state: "live" });
    }
    const services: FakeService[] = [];
    for (const { dataCentre, service, ...options } of settings.services) {
        const fake = new FakeService({ ...options, host });
        const address = await fake.start();
        services.push(fake);
        vms.push({ id: options.id, role: "service", dataCentre, address, state: "live", service });
    }
    vmList.setVms(vms);
    return {
        addresses: {
            log: log.address,
            vmList: vmList.address,
            store: store.address,
            engines: Object.fromEntries(engines.map(engine => [engine.id, engine.address])),
            services: Object.fromEntries(services.map(service => [service.id, service.address])),
        },
        log,
        vmList,
        engines,
        services,
        stop: async () => {
            await Promise.all([log, vmList, store, ...engines, ...services].map(fake => fake.stop()));
        },
    };
}
