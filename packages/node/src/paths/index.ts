export {
    type ConnectOutcome,
    type ConnectTarget,
    DirectConnector,
    type DirectConnectorOptions,
    type OpenedConnection,
    type OpenSocket,
    openTcpSocket,
    type UpstreamConnector,
    waitUntilOpen,
} from "./connector.js";
