import type { MessageOf } from "@radishreel/protocol";

/** A gateway that took over the request tokens of a stopped gateway. */
export type Heir = MessageOf<"heirs">["heirs"][number];

/** Stores every heir until the last token that it took over has expired. */
export class HeirTable {
    private readonly heirs = new Map<string, Heir>();

    /** Stores heirs and returns the new or changed ones. `now` is in milliseconds since 1970. */
    receive(heirs: readonly Heir[], now: number): Heir[] {
        const newHeirs = heirs.filter(heir =>
            heir.until > now && this.heirs.get(heir.issuer)?.address !== heir.address
        );
        newHeirs.forEach(heir => this.heirs.set(heir.issuer, heir));
        return newHeirs;
    }

    /** Lists the heirs that still have tokens which have not expired. `now` is in milliseconds since 1970. */
    list(now: number): Heir[] {
        for (const [issuer, { until }] of this.heirs) {
            if (until <= now) {
                this.heirs.delete(issuer);
            }
        }
        return [...this.heirs.values()];
    }
}
