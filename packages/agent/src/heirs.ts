import type { MessageOf } from "@radishreel/protocol";

/** The gateway that answers for the request tokens of one that has stopped. */
export type Heir = MessageOf<"heirs">["heirs"][number];

/** Knows every heir until the last token it answers for has expired. */
export class HeirTable {
    private readonly heirs = new Map<string, Heir>();

    /** Takes heirs and returns those that are news. `now` is in milliseconds since 1970. */
    receive(heirs: readonly Heir[], now: number): Heir[] {
        const news = heirs.filter(heir => heir.until > now && this.heirs.get(heir.issuer)?.address !== heir.address);
        news.forEach(heir => this.heirs.set(heir.issuer, heir));
        return news;
    }

    /** Every heir that still answers for a token. */
    list(now: number): Heir[] {
        for (const [issuer, { until }] of this.heirs) {
            if (until <= now) {
                this.heirs.delete(issuer);
            }
        }
        return [...this.heirs.values()];
    }
}
