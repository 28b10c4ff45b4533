export {
    type ConnectOutcome,
    type ConnectTarget,
    DirectConnector,
    type OpenedConnection,
    type OpenSocket,
    openTcpSocket,
    type UpstreamConnector,
} from "./connector.js";
export { checkListening, type ProbeResult } from "./probe.js";
export { Tunnels } from "./tunnels.js";
export { createAuthorization } from "./tunnelserver.js";
