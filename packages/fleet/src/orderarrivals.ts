/** Orders that may still arrive at the engines of a shard, as the VMs that sent them report. */
export class OrderArrivals {
    /** Latest times of arrival in milliseconds, by shard and sender. */
    private readonly ends = new Map<number, Map<string, number>>();

    /** Records that no order of a VM to a shard arrives after a time. A later report of the VM replaces this one. */
    record(shard: number, vm: string, end: number): void {
        const ends = this.ends.get(shard) ?? new Map<string, number>();
        ends.set(vm, end);
        this.ends.set(shard, ends);
    }

    /** Latest time at which an order may still arrive, in milliseconds; -Infinity if none is known. */
    readEnd(shard: number): number {
        return Math.max(-Infinity, ...this.ends.get(shard)?.values() ?? []);
    }
}
