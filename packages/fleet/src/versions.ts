/** Version of an adapter for which the operator has announced no version. */
export const firstVersion = 1;

/**
 * Time for which an engine may still start requests on a replaced version, unless the operator sets another, in
 * milliseconds.
 */
export const defaultReplacedMs = 5000;

/** Time reserved for the cancellation of a request to reach its engine, in milliseconds. */
const cancellationMs = 400;

/** Delay beyond the expected time that an engine may take to start a request, in milliseconds. */
const startSlackMs = 2100;

/** A version of an adapter that the operator has announced. */
export interface NamedVersion {
    readonly version: number;
    /** Earliest possible time of the announcement, in milliseconds; -Infinity if unknown. */
    readonly since: number;
}

/** Options of {@link AdapterVersions}. */
export interface AdapterVersionsOptions {
    /**
     * Time after the announcement of a newer version in which older ones may start requests, in milliseconds.
     * @default 5000
     */
    readonly replacedMs?: number | undefined;
}

/**
 * Versions of adapters that the operator has announced, and until when each older version may be used. That time counts
 * from the first version that replaced it: later announcements do not extend it. Times are of one clock that runs on
 * while the VM is suspended.
 */
export class AdapterVersions {
    /** By adapter key, oldest version first. */
    private readonly announced = new Map<string, readonly NamedVersion[]>();
    private readonly usableMs: number;

    constructor(options: AdapterVersionsOptions = {}) {
        this.usableMs = (options.replacedMs ?? defaultReplacedMs) - cancellationMs;
    }

    /** Records that a version was announced. @param since See {@link NamedVersion}. */
    update(key: string, version: number, since: number): void {
        const known = this.announced.get(key) ?? [];
        const same = known.find(named => named.version === version);
        const others = known.filter(named => named.version !== version);
        const updated = [...others, { version, since: Math.min(since, same?.since ?? Infinity) }];
        updated.sort((left, right) => left.version - right.version);
        this.announced.set(key, updated.filter((_named, index) => !this.isReplacedLongAgo(updated[index + 1], since)));
    }

    /** The newest announced version of an adapter; undefined for adapters that only have the first version. */
    findNewest(key: string): NamedVersion | undefined {
        return this.announced.get(key)?.at(-1);
    }

    /** Whether a version was announced; versions that were replaced long ago are no longer recorded. */
    has(key: string, version: number): boolean {
        return this.announced.get(key)?.some(named => named.version === version) === true;
    }

    /** Earliest possible time of a version's announcement; undefined if unknown. */
    findSince(key: string, version: number): number | undefined {
        const since = this.announced.get(key)?.find(named => named.version === version)?.since;
        return since === -Infinity ? undefined : since;
    }

    /** When a version was replaced: the earliest announcement of any newer version. Undefined if it is the newest. */
    findReplacedAt(key: string, version: number): number | undefined {
        const newer = (this.announced.get(key) ?? []).filter(named => named.version > version);
        return newer.length === 0 ? undefined : Math.min(...newer.map(({ since }) => since));
    }

    /** Until when an engine may start a request on a version; Infinity for the newest version. */
    readUseEnd(key: string, version: number): number {
        const replacedAt = this.findReplacedAt(key, version);
        return replacedAt === undefined ? Infinity : replacedAt + this.usableMs;
    }

    /**
     * Whether a request may be sent for a version now.
     * @param expectedMs Expected time until its start, in milliseconds.
     */
    mayUse(key: string, version: number, now: number, expectedMs = 0): boolean {
        return now + expectedMs + startSlackMs < this.readUseEnd(key, version);
    }

    /** The oldest version for which a request may be sent now; undefined if all versions are allowed. */
    findOldestUsable(key: string, now: number): number | undefined {
        const known = this.announced.get(key) ?? [];
        return known.findLast(({ version }) => !this.mayUse(key, version - 1, now))?.version;
    }

    /** Whether the versions before this one were replaced so long ago that the exact time no longer matters. */
    private isReplacedLongAgo(next: NamedVersion | undefined, now: number): boolean {
        return next !== undefined && next.since + this.usableMs < now;
    }
}
