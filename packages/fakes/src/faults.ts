import { z } from "zod";

/** Action of a fake that has a fault. */
export const faultActionSchema = z.enum([
    /** Runs the operation after `delayMs`. */
    "delay",
    /** Rejects the operation without running it. */
    "refuse",
    /** Closes the connection without running the operation. */
    "dropBefore",
    /** Runs the operation, then closes the connection without a response. */
    "loseAnswer",
    /** Runs the operation and sends no response; the connection stays open. */
    "silent",
    /** Neither runs the operation nor sends a response; the connection stays open. */
    "silentBefore",
    /** Runs the operation, and closes the connection after `bytes` bytes of the response body. */
    "truncate",
    /** Like `truncate`, but ends the response as if it were complete. */
    "cleanTruncate",
    /** Names another model in the response. */
    "wrongModel",
    /** Runs the operation, then responds with status 500. */
    "fail",
]);

/** Rule of a fault table. */
export const faultRuleSchema = z.strictObject({
    /** Operation that the rule applies to, or `*` for all. */
    operation: z.string(),
    action: faultActionSchema,
    /** Number of matching operations that run without the fault before the rule takes effect. */
    skip: z.number().int().nonnegative().default(0),
    /** Number of matching operations that get the fault. */
    count: z.number().int().positive().default(1),
    /** Delay of the action `delay`, in milliseconds. */
    delayMs: z.number().nonnegative().default(0),
    /** Length of the truncated body, in bytes. */
    bytes: z.number().int().nonnegative().default(0),
});

/** See {@link faultRuleSchema}. */
export type FaultRule = z.infer<typeof faultRuleSchema>;

/** {@link FaultRule} in which fields with a default are optional. */
export type FaultRuleOptions = z.input<typeof faultRuleSchema>;

/** Fault rules of a fake that are still to be applied. */
export class FaultTable {
    private rules: { rule: FaultRule; skip: number; count: number; }[] = [];

    /** Replaces all rules. */
    setRules(rules: readonly FaultRuleOptions[]): void {
        this.rules = rules.map(options => {
            const rule = faultRuleSchema.parse(options);
            return { rule, skip: rule.skip, count: rule.count };
        });
    }

    /** Finds the rule to apply to an operation, if any, and counts its use. */
    findFault(operation: string): FaultRule | undefined {
        for (const entry of this.rules) {
            if ((entry.rule.operation !== "*" && entry.rule.operation !== operation) || entry.count === 0) {
                continue;
            }
            if (entry.skip > 0) {
                entry.skip--;
                continue;
            }
            entry.count--;
            return entry.rule;
        }
        return undefined;
    }
}
