/** HTTP clients for engines and plain services; each exchange ends in a verdict on whether the request ran. */
export {
    type Call,
    type CallEnd,
    type CallOptions,
    type CallReceiver,
    HttpServiceClient,
    type ServiceClient,
} from "./call.js";
export {
    type Completion,
    type CompletionEnd,
    type CompletionOptions,
    type CompletionReceiver,
    type EngineClient,
    HttpEngineClient,
    notRunHeader,
} from "./completion.js";
export {
    type Attempt,
    createBreakVerdict,
    type Exchange,
    type ExchangeEnd,
    type ExchangePhase,
    UpstreamConnections,
    type UpstreamConnectionsOptions,
} from "./exchange.js";
export {
    type EngineStatus,
    HttpOrderClient,
    type OrderClient,
    type OrderClientOptions,
    type OrderError,
    type OrderGuard,
    type ServiceStatus,
} from "./orders.js";
export { StreamChecker, type StreamStep } from "./stream.js";
