/** Fakes of the platform and the upstreams. */
export { type EngineRun, FakeEngine, type FakeEngineOptions, type UnsafeEviction } from "./engine.js";
export { type FaultRule, type FaultRuleOptions, FaultTable } from "./faults.js";
export { FakeListener, type FakeListenerOptions, readBody } from "./listener.js";
export { FakeLog } from "./log.js";
export { FakeService, type FakeServiceOptions, type ServiceRun } from "./service.js";
export { type FakesOptions, type FakesSettings, fakesSettingsSchema } from "./settings.js";
export { type FakesAddresses, type RunningFakes, startFakes } from "./start.js";
export { FakeWeightStore, type FakeWeightStoreOptions } from "./store.js";
export { type FakeVm, FakeVmList } from "./vms.js";
