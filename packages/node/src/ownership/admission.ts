import { EngineAdmission, type EngineAdmissionOptions, ReturningAdmission, type ToldKind } from "@radishreel/fleet";
import { Counter, type Registry } from "prom-client";
import type { DecisionLog } from "../decisions.js";
import type { NodeFeatures } from "../features.js";

/** Options of {@link createAdmission} that are the same for all engines. */
export interface AdmissionSettings {
    readonly log: DecisionLog;
    /** @default all are off */
    readonly features?: NodeFeatures | undefined;
    /** Called for each declined request with what it is told, if returns are reserved. */
    readonly onDeclined?: ((kind: ToldKind) => void) | undefined;
}

/** Creates the settings of the admission to owned engines, with a counter if returns are reserved. */
export function createAdmissionSettings(
    features: NodeFeatures | undefined,
    registry: Registry,
): Omit<AdmissionSettings, "log"> {
    if (features?.hasEngineScheduling !== true) {
        return { features };
    }
    const declined = new Counter({
        name: "radishreel_node_returns_total",
        help: "Requests that this VM declined as the owner of an engine, by what they were told about their return",
        labelNames: ["told"] as const,
        registers: [registry],
    });
    return { features, onDeclined: told => declined.inc({ told }) };
}

/** Creates the admission to an engine that this VM owns. */
export function createAdmission(
    { log, features, onDeclined }: AdmissionSettings,
    options: EngineAdmissionOptions,
): EngineAdmission {
    if (features?.hasEngineScheduling !== true) {
        return new EngineAdmission(options);
    }
    return new ReturningAdmission({
        ...options,
        onDeclined,
        onReservations: hasReservations => {
            log.recordImportant(hasReservations ? "returnsReserved" : "returnsEnded", { engine: options.engine });
        },
    });
}
