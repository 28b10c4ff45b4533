import type { ReadinessOptions } from "../listeners.js";
import type { CrashGuard } from "./guard.js";

/** The part of the readiness listener that lists and releases quarantined requests. */
export type QuarantineRoutes = Pick<
    ReadinessOptions,
    "listRefused" | "releaseRequest" | "listCondemnedParts" | "releasePart"
>;

/** Creates the part of the readiness listener that lists and releases quarantined requests. */
export function createQuarantineRoutes(guard: CrashGuard): QuarantineRoutes {
    return {
        listRefused: () => guard.listRefused(),
        releaseRequest: digest => guard.release(digest),
        listCondemnedParts: () => guard.listCondemnedParts(),
        releasePart: part => guard.releasePart(part),
    };
}
