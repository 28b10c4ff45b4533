/**
 * Backoffs that upstreams have requested from this VM (`Retry-After`). A backoff concerns this VM and one incarnation
 * of the upstream only: other VMs are not notified, it does not count as a failure, and the owner still admits other
 * VMs' requests.
 */
export class UpstreamBackoffs {
    private readonly ends = new Map<string, number>();

    /** Records a backoff that an upstream requests. Of several backoffs the latest end counts. */
    record(id: string, backoffMs: number, now: number): void {
        this.expire(now);
        this.ends.set(id, Math.max(this.ends.get(id) ?? -Infinity, now + backoffMs));
    }

    isBackingOff(id: string, now: number): boolean {
        return this.findEnd(id, now) !== undefined;
    }

    /** End of an upstream's backoff; undefined if there is none. */
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
