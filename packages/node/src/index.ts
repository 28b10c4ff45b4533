/** radishreel-node: the data path and the control path of one VM, in one process. */
export type { AccountBounds } from "./accounts/index.js";
export { BootClock } from "./clock.js";
export { DecisionLog, type DecisionLogOptions, type LineSink } from "./decisions.js";
export { defaultFeatures, type NodeFeatures } from "./features.js";
export { rewriteMs } from "./knowledge/eras.js";
export { defaultEntriesPauseMs } from "./knowledge/readers.js";
export type { NodeOptions, NodeSettings } from "./options.js";
export {
    createAuthorization,
    DirectConnector,
    type OpenSocket,
    openTcpSocket,
    type UpstreamConnector,
} from "./paths/index.js";
export type {
    CallerDemand,
    CallerIdentity,
    CallerKey,
    ClusterChange,
    ClusterReceiver,
    ClusterStore,
    EngineOrders,
    IdentityCall,
    IdentityResponse,
    LimitStatement,
    Member,
    OrderGuard,
    RawHeaders,
    ReportFailure,
    RequestDialect,
    ResponseHead,
    SendOptions,
    ShardAssigner,
    ShardAssignment,
    ShownIdentity,
    StoreEraEvent,
    StreamHistoryStore,
    UnreadableRecord,
} from "./ports.js";
export { NodeProgram } from "./program.js";
export { UpstreamConnection } from "./requests/connections.js";
export { EventSplitter, type StreamEvent } from "./requests/events.js";
export { type ExpectedResponse, readResponseMetadata, type ResponseMetadata } from "./requests/metadata.js";
