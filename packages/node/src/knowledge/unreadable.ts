import type { DecisionLog } from "../decisions.js";
import type { NodeMetrics } from "../metrics.js";
import type { UnreadableRecord } from "../ports.js";
import { explainPosition } from "./eras.js";

/** Maximum logged length of the reason why a record is unreadable, in characters: other writers influence it. */
const maxReasonChars = 300;

/** What records that cannot be read are counted and logged with. */
export interface UnreadableOutputs {
    readonly log: DecisionLog;
    readonly metrics: Pick<NodeMetrics, "recordUnreadableRecord">;
}

/** Counts and logs a record that cannot be read. */
export function recordUnreadable(record: UnreadableRecord, { log, metrics }: UnreadableOutputs): void {
    metrics.recordUnreadableRecord(record.topic);
    log.recordImportant("recordUnreadable", {
        ...record,
        ...explainPosition(record.position),
        why: record.why.slice(0, maxReasonChars),
    });
}
