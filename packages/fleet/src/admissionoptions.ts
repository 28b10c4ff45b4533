import type { EngineLimits } from "@radishreel/routing";
import type { AccountUsage } from "./scheduling/index.js";
import type { AccountStarts } from "./shares/index.js";
import type { EngineSlotPlanner } from "./slotplanner.js";
import type { EngineSpeed } from "./speeds/index.js";
import type { AdmissionReply } from "./types.js";

/** A reply and the VM that receives it. */
export interface AddressedReply {
    readonly vm: string;
    readonly reply: AdmissionReply;
}

/** Options of {@link EngineAdmission}. */
export interface EngineAdmissionOptions {
    readonly engine: string;
    readonly planner: EngineSlotPlanner;
    /**
     * Whether a loaded version of an adapter may serve a request; `oldest` is the oldest version that the request
     * accepts.
     */
    readonly mayUse: (key: string, held: number, oldest: number | undefined) => boolean;
    /**
     * Limits of the engine within which its requests stay, in the order of their urgency. @default requests whose
     * adapter is loaded are admitted at once
     */
    readonly limits?: Pick<EngineLimits, "batchSlots" | "kvTokens"> | undefined;
    /** Usage of client accounts, for the order by urgency. @default all accounts are treated alike */
    readonly usage?: AccountUsage | undefined;
    /** Counts the requests that this owner starts. @default not counted */
    readonly starts?: AccountStarts | undefined;
    /** Learned speed of the engine. @default the nominal speed */
    readonly speed?: EngineSpeed | undefined;
}
