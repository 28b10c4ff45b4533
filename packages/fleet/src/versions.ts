/** A version of an adapter that the operator has named. */
export interface NamedVersion {
    readonly version: number;
    /** When it was named, at the earliest that is possible, in milliseconds; -Infinity if that is not known. */
    readonly since: number;
}

/** Versions of adapters that the operator has named, and since when each older one is replaced. */
export class AdapterVersions {
    /** By adapter key, oldest version first. */
    private readonly named = new Map<string, NamedVersion[]>();

    /** Takes word that a version exists. @param since See {@link NamedVersion}. */
    update(key: string, version: number, since: number): void {
        const known = this.named.get(key) ?? [];
        const same = known.find(named => named.version === version);
        const others = known.filter(named => named.version !== version);
        const updated = [...others, { version, since: Math.min(since, same?.since ?? Infinity) }];
        this.named.set(key, updated.sort((left, right) => left.version - right.version));
    }

    /** The newest version of an adapter; undefined for adapters that never had another one than the first. */
    findNewest(key: string): NamedVersion | undefined {
        return this.named.get(key)?.at(-1);
    }

    /** When a version was replaced: at the first moment at which any newer one was named. Undefined if it is the newest. */
    findReplacedAt(key: string, version: number): number | undefined {
        const newer = (this.named.get(key) ?? []).filter(named => named.version > version);
        return newer.length === 0 ? undefined : Math.min(...newer.map(({ since }) => since));
    }
}
