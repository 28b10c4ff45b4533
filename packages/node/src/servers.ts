import { createHttpServer, type HttpConnections, type ListenAddress } from "@radishreel/wire";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { readNow } from "./clock.js";

/** Most connections of the load balancer and of operators. */
const maxReadinessConnections = 32;

/**
 * Shares of the VM's sockets for connections that others open. What is left is for connections to upstreams and to the
 * store, and for those that this VM opens to others.
 */
const callerShare = 0.6;
const peerShare = 0.15;
const tunnelShare = 0.1;

/** Most connections that others may have open to one VM. */
export interface SocketLimits {
    readonly callers: number;
    readonly peers: number;
    readonly tunnels: number;
}

/** Divides the sockets of a VM among its listeners. @param maxSockets Most sockets that the VM may have open. */
export function resolveSocketLimits(maxSockets = Infinity): SocketLimits {
    return {
        callers: Math.floor(maxSockets * callerShare),
        peers: Math.floor(maxSockets * peerShare),
        tunnels: Math.floor(maxSockets * tunnelShare),
    };
}

/** The HTTP servers of one VM: for callers, and for the load balancer and operators. */
export class HttpServers {
    readonly callers: Server;
    readonly readiness: Server;
    readonly callerConnections: HttpConnections;

    constructor(limits: SocketLimits) {
        const options = { keepAlive: true, noDelay: true, readTime: readNow, maxConnections: limits.callers };
        const { server, connections } = createHttpServer(options);
        this.callers = server;
        this.callerConnections = connections;
        this.readiness = createHttpServer({ readTime: readNow, maxConnections: maxReadinessConnections }).server;
    }
}

/** Formats the address of a server that listens as `host:port`. */
export function formatServerAddress(server: Server, { host }: ListenAddress): string {
    return `${host}:${(server.address() as AddressInfo).port}`;
}
