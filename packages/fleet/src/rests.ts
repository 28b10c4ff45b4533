/**
 * Until when upstreams want nothing from this VM, as they have asked it. That is between the two: other VMs are not told, the
 * upstream has not failed, and an owner lets other VMs' requests in. Another incarnation has asked for nothing.
 */
export class UpstreamRests {
    private readonly ends = new Map<string, number>();

    /** Takes an upstream's wish. The later end counts. */
    record(id: string, restMs: number, now: number): void {
        this.expire(now);
        this.ends.set(id, Math.max(this.ends.get(id) ?? -Infinity, now + restMs));
    }

    isResting(id: string, now: number): boolean {
        return this.findEnd(id, now) !== undefined;
    }

    /** When an upstream's rest ends; undefined if it does not rest. */
    findEnd(id: string, now: number): number | undefined {
        const end = this.ends.get(id);
        return end !== undefined && end > now ? end : undefined;
    }

    private expire(now: number): void {
        for (const [id, end] of this.ends) {
            if (end <= now) {
                this.ends.delete(id);
            }
        }
    }
}
