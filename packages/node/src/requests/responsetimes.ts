import type { FleetView, Upstream } from "@radishreel/fleet";
import type { Job } from "./job.js";

/** Share of a route's latency target that a response is expected to take, with a minimum in milliseconds. */
const expectedShare = 0.25;
const minExpectedMs = 30;

/**
 * Records the time of a complete response of a plain server, and returns its slowdown; 1 means none. The slowdown of an
 * engine is recorded at the first event of its stream, so this function returns 1 for engines.
 * @param ms Time since the request was sent, in milliseconds.
 */
export function recordResponseTime(
    view: FleetView,
    { service, route }: Pick<Job, "service" | "route">,
    server: Upstream,
    now: number,
    ms: number,
): number {
    if (service.engine !== undefined) {
        return 1;
    }
    return view.recordServerResponse(server, ms, Math.max(minExpectedMs, route.aimMs * expectedShare), now);
}
