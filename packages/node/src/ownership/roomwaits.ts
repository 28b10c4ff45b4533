import type { EngineAdmission } from "@radishreel/fleet";
import type { DecisionLog } from "../decisions.js";

/** Shortest interval between two lines about one engine, in milliseconds: under load an engine fills many times a second. */
const minIntervalMs = 1000;

/** Logs when requests begin to wait for room at an owned engine, and when none does any more. */
export class RoomWaitLog {
    private isWaiting = false;
    private recordedAt = -Infinity;

    constructor(private readonly log: DecisionLog, private readonly engine: string) {}

    /** Records the state of an engine's admission. */
    record({ load, roomWaitingCount, waitingCount }: EngineAdmission, now: number): void {
        const isWaiting = roomWaitingCount > 0;
        if (isWaiting === this.isWaiting || now - this.recordedAt < minIntervalMs) {
            return;
        }
        this.isWaiting = isWaiting;
        this.recordedAt = now;
        const { active, kvTokens, backlogTokens } = load;
        const { engine } = this;
        this.log.record("engineRoom", {
            engine,
            isWaiting,
            roomWaitingCount,
            waitingCount,
            active,
            kvTokens,
            backlogTokens,
        });
    }
}
