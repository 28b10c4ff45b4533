import type { SoftwareClaims, Upstream } from "@radishreel/fleet";
import type { Member } from "../ports.js";

/**
 * How long a VM keeps the claim of a software version of which it sees no upstream any more, in milliseconds. Streams
 * that began at the version may be resumed until then.
 */
const claimLifetimeMs = 600_000;

/** Options of {@link VersionClaims}. */
export interface VersionClaimsOptions {
    readonly readTime: () => number;
    /** Lists all known upstreams, including leaving ones. */
    readonly listUpstreams: () => readonly Upstream[];
    /** Whether streams run on a service. */
    readonly hasStreams: (service: string) => boolean;
    /** Lists the entries of all VMs that were read from the store. */
    readonly listMembers: () => readonly Member[];
    /** Writes this VM's claims to the store, in place of the earlier ones. */
    readonly appendClaims: (claims: SoftwareClaims, onConfirmed: () => void) => void;
    /** Called when streams may begin at further versions. */
    readonly onChange: () => void;
}

/**
 * The software versions at which streams may have begun. A stream begins at a version only once the store holds a claim
 * of the version by some VM, and the claim outlives the stream. If all claims of a service name the same version, each
 * of its streams began there, whatever else is known about the stream.
 */
export class VersionClaims {
    /** When an upstream of each claimed version was last seen, by service and version. */
    private readonly seenAt = new Map<string, Map<string, number>>();
    private confirmedClaims: SoftwareClaims = {};
    private claimedVersions: ReadonlyMap<string, ReadonlySet<string>> = new Map();
    private hasReadMembers = false;
    /** Whether the claims differ from those that were last written. */
    private isUnwritten = false;

    constructor(private readonly options: VersionClaimsOptions) {}

    /**
     * Called when the entries of all VMs have been read: writes this VM's entry with its claims.
     * @param previous Claims of an earlier process of this VM, whose streams may still be resumed.
     */
    receiveMembersRead(previous: SoftwareClaims = {}): void {
        this.hasReadMembers = true;
        this.isUnwritten = true;
        for (const [service, versions] of Object.entries(previous)) {
            versions.forEach(version => this.recordSeen(service, version));
        }
        this.update();
    }

    /** Claims the versions of new upstreams, and drops claims of versions that are long gone. */
    update(): void {
        const { listUpstreams, hasStreams } = this.options;
        for (const { service, softwareVersion } of listUpstreams()) {
            if (hasStreams(service)) {
                this.recordSeen(service, softwareVersion);
            }
        }
        this.expireUnseen();
        if (this.hasReadMembers && this.isUnwritten) {
            this.append();
        }
        this.updateClaimedVersions();
    }

    /** Finds all known claims by service; undefined until the entries of all VMs have been read. */
    findAll(): SoftwareClaims | undefined {
        return this.hasReadMembers
            ? Object.fromEntries([...this.claimedVersions].map(([service, versions]) => [service, [...versions]]))
            : undefined;
    }

    /** Whether streams may begin at a software version. */
    mayBegin(service: string, softwareVersion: string): boolean {
        return this.claimedVersions.get(service)?.has(softwareVersion) === true;
    }

    /** Whether streams of a service may have begun at more than one software version. */
    hasSeveral(service: string): boolean {
        return (this.claimedVersions.get(service)?.size ?? 0) > 1;
    }

    /** Counts the software versions of all services at which streams may begin. */
    get count(): number {
        return countVersions(this.claimedVersions);
    }

    /** Lists the services whose streams may have begun at more than one software version. */
    listAmbiguousServices(): string[] {
        return [...this.claimedVersions.keys()].filter(service => this.hasSeveral(service));
    }

    private append(): void {
        this.isUnwritten = false;
        const claims = Object.fromEntries(
            [...this.seenAt].map(([service, versions]) => [service, [...versions.keys()]]),
        );
        this.options.appendClaims(claims, () => {
            this.confirmedClaims = claims;
            this.updateClaimedVersions();
        });
    }

    private recordSeen(service: string, softwareVersion: string): void {
        const versions = this.seenAt.get(service) ?? new Map<string, number>();
        this.isUnwritten ||= !versions.has(softwareVersion);
        versions.set(softwareVersion, this.options.readTime());
        this.seenAt.set(service, versions);
    }

    private expireUnseen(): void {
        const minSeenAt = this.options.readTime() - claimLifetimeMs;
        for (const versions of this.seenAt.values()) {
            for (const [version, seenAt] of versions) {
                if (seenAt < minSeenAt) {
                    versions.delete(version);
                    this.isUnwritten = true;
                }
            }
        }
    }

    private updateClaimedVersions(): void {
        const before = countVersions(this.claimedVersions);
        const claims = this.options.listMembers().map(({ softwareClaims }) => softwareClaims ?? {});
        this.claimedVersions = mergeClaims([...claims, this.confirmedClaims]);
        if (countVersions(this.claimedVersions) !== before) {
            this.options.onChange();
        }
    }
}

/** Merges claims to the set of claimed versions by service. */
export function mergeClaims(claims: readonly SoftwareClaims[]): Map<string, Set<string>> {
    const merged = new Map<string, Set<string>>();
    for (const [service, versions] of claims.flatMap(claim => Object.entries(claim))) {
        merged.set(service, new Set([...merged.get(service) ?? [], ...versions]));
    }
    return merged;
}

function countVersions(versions: ReadonlyMap<string, ReadonlySet<string>>): number {
    return [...versions.values()].reduce((sum, { size }) => sum + size, 0);
}
