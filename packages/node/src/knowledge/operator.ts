import type { AdapterVersions } from "@radishreel/fleet";
import type { ClusterChange } from "../ports.js";

/** A change that the operator wrote. */
export type OperatorChange = Extract<ClusterChange, { kind: "routing" | "version"; }>;

type RoutingChange = Extract<ClusterChange, { kind: "routing"; }>;
type VersionChange = Extract<ClusterChange, { kind: "version"; }>;

/** Options of {@link OperatorState}. */
export interface OperatorStateOptions {
    readonly versions: AdapterVersions;
    /** Boot time, which also counts while the VM is suspended, in milliseconds. */
    readonly readBoot: () => number;
    /** Called when a newer configuration is known. */
    readonly onRouting: (change: RoutingChange) => void;
    /** Called when a version of an adapter is learned. */
    readonly onVersion: () => void;
}

/**
 * What the operator wrote: the configuration and the versions of adapters. The operator's own version numbers decide
 * which content is newer, since a restored copy of the store shows older content at a higher position. Content that is
 * kept takes over the position of the record that it outranks, so that VMs which compare positions agree.
 */
export class OperatorState {
    private routing: RoutingChange | undefined;
    private readonly newestVersions = new Map<string, VersionChange>();
    /**
     * Versions before the newest, by adapter key, oldest first. A VM that lacks them must learn when the first was
     * published.
     */
    private readonly olderVersions = new Map<string, VersionChange[]>();
    private highestPosition = -1;

    constructor(private readonly options: OperatorStateOptions) {}

    /** The newest configuration; undefined until one is known. */
    get newestRouting(): RoutingChange | undefined {
        return this.routing;
    }

    /** Highest position up to which changes were read. */
    get position(): number {
        return this.highestPosition;
    }

    /** Lists the newest changes, and the older versions that are still in use. */
    listChanges(): OperatorChange[] {
        const older = [...this.olderVersions.values()].flat();
        return [...older, ...(this.routing === undefined ? [] : [this.routing]), ...this.newestVersions.values()]
            .map(change => this.updateAge(change));
    }

    /** @returns What is known after the change, if the change raised its content or its position. */
    applyChange(change: OperatorChange): OperatorChange | undefined {
        this.highestPosition = Math.max(this.highestPosition, change.position);
        return change.kind === "routing" ? this.applyRouting(change) : this.applyVersion(change);
    }

    private applyRouting(change: RoutingChange): RoutingChange | undefined {
        const known = this.routing;
        const isNewer = change.routing.version > (known?.routing.version ?? -Infinity);
        if (known !== undefined && !isNewer && change.position <= known.position) {
            return undefined;
        }
        this.routing = mergePosition(known === undefined || isNewer ? change : known, known, change);
        if (isNewer) {
            this.options.onRouting(this.routing);
        }
        return this.routing;
    }

    private applyVersion(change: VersionChange): VersionChange | undefined {
        const known = this.newestVersions.get(change.key);
        const isNewer = change.version > (known?.version ?? -Infinity);
        if (!isNewer && !this.options.versions.has(change.key, change.version)) {
            // The time since a replacement counts from the first newer version.
            this.recordVersion(change);
            this.recordOlderVersion(change);
        }
        if (known !== undefined && !isNewer && change.position <= known.position) {
            return undefined;
        }
        if (isNewer) {
            this.recordOlderVersion(known);
            this.recordVersion(change);
        }
        const merged = mergePosition(known === undefined || isNewer ? change : known, known, change);
        this.newestVersions.set(change.key, merged);
        return this.updateAge(merged);
    }

    /** Records a version as of the earliest time at which it may have been published, not of its arrival here. */
    private recordVersion({ key, version, ageMs }: VersionChange): void {
        const since = ageMs === undefined ? -Infinity : this.options.readBoot() - ageMs;
        this.options.versions.update(key, version, since);
        this.options.onVersion();
    }

    private recordOlderVersion(change: VersionChange | undefined): void {
        if (change === undefined) {
            return;
        }
        const { key } = change;
        const known = [...this.olderVersions.get(key) ?? [], change].sort((left, right) =>
            left.version - right.version
        );
        this.olderVersions.set(key, known.filter(({ version }) => this.options.versions.has(key, version)));
    }

    /** Creates a copy of the change with the current age of its version. */
    private updateAge<Change extends OperatorChange>(change: Change): Change {
        if (change.kind !== "version") {
            return change;
        }
        const since = this.options.versions.findSince(change.key, change.version);
        return { ...change, ageMs: since === undefined ? undefined : Math.max(0, this.options.readBoot() - since) };
    }
}

/** Creates a copy of a change with the higher position of two changes. */
function mergePosition<Change extends OperatorChange>(
    content: Change,
    known: OperatorChange | undefined,
    change: OperatorChange,
): Change {
    return { ...content, position: Math.max(known?.position ?? -1, change.position) };
}
