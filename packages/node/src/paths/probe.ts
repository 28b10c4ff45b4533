import type { Upstream } from "@radishreel/fleet";
import type { UpstreamConnector } from "./connector.js";
import { NoPathError } from "./tunnelconnector.js";

/** Result of a probe: the upstream refuses connections, accepts them, or does not respond. */
export type ProbeResult = "refused" | "open" | "silent";

/** Opens a connection to an upstream and closes it at once. */
export async function checkListening(
    connector: UpstreamConnector,
    { id, address }: Pick<Upstream, "id" | "address">,
): Promise<ProbeResult> {
    try {
        const { socket } = await connector.open({ upstream: id, address }, new AbortController().signal);
        socket.destroy();
        return "open";
    }
    catch (error) {
        const isRefused = error instanceof NoPathError
            ? error.isRefused
            : (error as NodeJS.ErrnoException).code === "ECONNREFUSED";
        return isRefused ? "refused" : "silent";
    }
}
