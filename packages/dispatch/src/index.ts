/** Decision logic without I/O for a gateway: admission, queues, choice of engine, retries. */
export { Dispatcher } from "./dispatcher.js";
export {
    type AccountClass,
    type AttemptOutcome,
    type DispatchCommand,
    type DispatcherOptions,
    type DispatchEvent,
    type DispatchRequest,
    type LeasedEngine,
    type LoadOutlook,
    type ModelDemand,
} from "./types.js";
