import { z } from "zod";

/** What a fake does wrong. */
export const faultActionSchema = z.enum([
    /** Acts `delayMs` late. */
    "delay",
    /** Refuses before acting. */
    "refuse",
    /** Closes the connection before acting. */
    "dropBefore",
    /** Acts, then closes the connection without an answer. */
    "loseAnswer",
    /** Acts, and never answers; the connection stays open. */
    "silent",
    /** Never acts and never answers. */
    "silentBefore",
    /** Acts, and closes the connection after `bytes` bytes of the answer's body. */
    "truncate",
    /** Like `truncate`, but ends the answer as if it were whole. */
    "cleanTruncate",
    /** Answers as if for another model. */
    "wrongModel",
    /** Acts, then answers with a failure. */
    "fail",
]);

/** One rule of a fault table. */
export const faultRuleSchema = z.strictObject({
    /** Operation it is about, or `*`. */
    operation: z.string(),
    action: faultActionSchema,
    /** Operations let through before it starts. */
    skip: z.number().int().nonnegative().default(0),
    /** Operations it spoils. */
    count: z.number().int().positive().default(1),
    delayMs: z.number().nonnegative().default(0),
    bytes: z.number().int().nonnegative().default(0),
});

/** See {@link faultRuleSchema}. */
export type FaultRule = z.infer<typeof faultRuleSchema>;

/** A rule with its defaults left out. */
export type FaultRuleOptions = z.input<typeof faultRuleSchema>;

/** Faults that a fake still has to show. */
export class FaultTable {
    private rules: { rule: FaultRule; skip: number; count: number; }[] = [];

    /** Replaces every rule. */
    setRules(rules: readonly FaultRuleOptions[]): void {
        this.rules = rules.map(options => {
            const rule = faultRuleSchema.parse(options);
            return { rule, skip: rule.skip, count: rule.count };
        });
    }

    /** The fault to show at this operation, if any. */
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
