/** Version of an adapter for which the operator has named none. */
export const firstVersion = 1;

/** Time in which a replaced version may still begin to answer where the operator names none, in milliseconds. */
export const usualReplacedMs = 5000;

/** Time that is left for the cancellation of a request to reach its engine, in milliseconds. */
const cancelMs = 400;

/** How much longer than expected an engine may take to begin a request, in milliseconds. */
const beginSlackMs = 2100;

/** A version of an adapter that the operator has named. */
export interface NamedVersion {
    readonly version: number;
    /** When it was named, at the earliest that is possible, in milliseconds; -Infinity if that is not known. */
    readonly since: number;
}

/** Options of {@link AdapterVersions}. */
export interface AdapterVersionsOptions {
    /** Time after a newer version was named in which an engine may begin a request on an older one, in milliseconds. @default 5000 */
    readonly replacedMs?: number | undefined;
}

/**
 * Versions of adapters that the operator has named, and until when each older one may answer. Each counts from the first
 * version that replaced it: what is named later gives it no more time. Times are of one clock that goes on while the VM is
 * suspended.
 */
export class AdapterVersions {
    /** By adapter key, oldest version first. */
    private readonly named = new Map<string, readonly NamedVersion[]>();
    private readonly useMs: number;

    constructor(options: AdapterVersionsOptions = {}) {
        this.useMs = (options.replacedMs ?? usualReplacedMs) - cancelMs;
    }

    /** Takes word that a version exists. @param since See {@link NamedVersion}. */
    update(key: string, version: number, since: number): void {
        const known = this.named.get(key) ?? [];
        const same = known.find(named => named.version === version);
        const others = known.filter(named => named.version !== version);
        const updated = [...others, { version, since: Math.min(since, same?.since ?? Infinity) }];
        updated.sort((left, right) => left.version - right.version);
        this.named.set(key, updated.filter((_named, index) => !this.isPast(updated[index + 1], since)));
    }

    /** The newest version of an adapter; undefined for adapters that never had another one than the first. */
    findNewest(key: string): NamedVersion | undefined {
        return this.named.get(key)?.at(-1);
    }

    /** Whether a version was named, as far as it still makes a difference. */
    has(key: string, version: number): boolean {
        return this.named.get(key)?.some(named => named.version === version) === true;
    }

    /** When a version was named, at the earliest; undefined if that is not known. */
    findSince(key: string, version: number): number | undefined {
        const since = this.named.get(key)?.find(named => named.version === version)?.since;
        return since === -Infinity ? undefined : since;
    }

    /** When a version was replaced: at the first moment at which any newer one was named. Undefined if it is the newest. */
    findReplacedAt(key: string, version: number): number | undefined {
        const newer = (this.named.get(key) ?? []).filter(named => named.version > version);
        return newer.length === 0 ? undefined : Math.min(...newer.map(({ since }) => since));
    }

    /** Until when an engine may begin a request on a version; infinite for the newest one. */
    readUseEnd(key: string, version: number): number {
        const replacedAt = this.findReplacedAt(key, version);
        return replacedAt === undefined ? Infinity : replacedAt + this.useMs;
    }

    /** Whether a request may be sent for a version now. @param expectedMs Time until it begins, as expected, in milliseconds. */
    mayUse(key: string, version: number, now: number, expectedMs = 0): boolean {
        return now + expectedMs + beginSlackMs < this.readUseEnd(key, version);
    }

    /** The oldest version that may be sent a request now; undefined if any may. */
    findOldest(key: string, now: number): number | undefined {
        const known = this.named.get(key) ?? [];
        return known.findLast(({ version }) => !this.mayUse(key, version - 1, now))?.version;
    }

    /** Whether every version before this one was replaced so long ago that when exactly makes no difference any more. */
    private isPast(next: NamedVersion | undefined, now: number): boolean {
        return next !== undefined && next.since + this.useMs < now;
    }
}
