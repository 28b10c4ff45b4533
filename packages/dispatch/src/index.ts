/** Pure decisions of a gateway: admission, queues, engine choice, retries. */
export { Dispatcher } from "./dispatcher.js";
export {
    type AttemptOutcome,
    type CustomerClass,
    type DispatchCommand,
    type DispatcherOptions,
    type DispatchEvent,
    type DispatchRequest,
    type LeasedEngine,
    type LoadOutlook,
    type ModelDemand,
} from "./types.js";
