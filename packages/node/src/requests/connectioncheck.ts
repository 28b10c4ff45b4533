import type { FleetView } from "@radishreel/fleet";
import type { ClusterState } from "../knowledge/cluster.js";
import type { RequestDialect, ShownIdentity } from "../ports.js";
import type { UpstreamConnection } from "./connections.js";
import { readIdentity } from "./identity.js";

/** Longest wait for the answer on a new connection, in milliseconds. */
const answerLimitMs = 400;

/** Options of {@link createConnectionCheck}. */
export interface ConnectionCheckOptions {
    readonly view: Pick<FleetView, "findUpstream">;
    readonly cluster: () => Pick<ClusterState, "routes">;
    readonly dialect: Pick<RequestDialect, "createIdentityCall" | "parseIdentity" | "parseResponse">;
}

/**
 * Asks on a new connection which incarnation of an upstream it leads to.
 * @returns Undefined if that needs no answer.
 */
export type ConnectionCheck = (
    connection: UpstreamConnection,
    upstreamId: string,
) => Promise<ShownIdentity> | undefined;

/**
 * Creates the check of connections to engines that may start again under their name: the process that accepts a
 * connection may run another software version before its entry tells of its start.
 */
export function createConnectionCheck({ view, cluster, dialect }: ConnectionCheckOptions): ConnectionCheck {
    return (connection, upstreamId) => {
        const upstream = view.findUpstream(upstreamId)?.upstream;
        if (upstream === undefined || upstream.bornAt === 0) {
            return undefined;
        }
        const service = cluster().routes?.findService(upstream.service);
        if (service?.engine === undefined) {
            return undefined;
        }
        const call = dialect.createIdentityCall(upstream, service);
        return call === undefined
            ? undefined
            : readIdentity(connection, upstream, { dialect, call, limitMs: answerLimitMs });
    };
}
