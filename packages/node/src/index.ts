/** radishreel-node: the data path and the control path of one VM in one process. */
export { UpstreamConnection } from "./connections.js";
export { DecisionLog, type DecisionLogOptions, type LineSink } from "./decisions.js";
export { EventSplitter, type StreamEvent } from "./events.js";
export type {
    AnswerHead,
    CallerDemand,
    ClusterChange,
    ClusterReceiver,
    ClusterStore,
    EngineOrders,
    Member,
    OrderGuard,
    RawHeaders,
    ReportFailure,
    RequestDialect,
    SendOptions,
    ShardClaims,
    ShardDeal,
    UnreadableRecord,
} from "./ports.js";
export { type NodeOptions, NodeProgram, type NodeSettings } from "./program.js";
export { usualEntriesPauseMs } from "./readers.js";
