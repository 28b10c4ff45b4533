import type { LogPage } from "@radishreel/log";
import { ChunkAssembler } from "./chunks.js";
import { type ApplyRecord, type ContentRecord, emptyVersion, type SnapshotRecord } from "./records.js";
import type { Change, Entry } from "./schema.js";
import { OfferingsState } from "./state.js";

/** Why an apply was rejected. */
export type RejectionReason = "baseMoved" | "digestMismatch";

/** Whether an apply was accepted. */
export interface ApplyOutcome {
    readonly applyId: string;
    readonly offset: number;
    readonly accepted: boolean;
    readonly reason?: RejectionReason;
}

/** An accepted apply, as sent to peers. */
export interface AcceptedChange {
    readonly version: number;
    readonly base: number;
    readonly digest: string;
    readonly applyId: string;
    readonly change: Change;
}

/** A complete version of the offerings, as sent to peers. */
export interface CompleteVersion {
    readonly version: number;
    /** Every record below this offset is folded into the version. */
    readonly asOf: number;
    readonly digest: string;
    readonly entries: Entry[];
}

/** Number of accepted changes retained for peers, and number of outcomes retained for the writers of applies. */
const maxRetained = 256;

/** Number of entries in the largest change that is retained. */
export const maxRetainedEntries = 2000;

/** A gap of records that were trimmed before they were read, open until a snapshot or a peer's version covers it. */
interface Gap {
    /** Offset of the first record that was not folded. */
    readonly start: number;
    /** Offset of the first record after the gap. */
    readonly end: number;
    /** Records read since the gap opened. */
    readonly records: { offset: number; record: ContentRecord; }[];
    /** Offset of the last commit whose record is unreadable, because its first chunks lie in the gap. */
    lastBroken: number;
}

/**
 * Folds the log's records, in offset order, into the offerings in force. Every reader of the same records reaches the
 * same version, and no reader returns to an older version. See docs/design/configuration.md.
 */
export class OfferingsFold {
    private state = new OfferingsState();
    private currentVersion = emptyVersion;
    private isVersionKnown = false;
    private next = 0;
    private gap: Gap | undefined;
    private readonly chunks = new ChunkAssembler();
    private readonly recentChanges: AcceptedChange[] = [];
    private neededAt: number | undefined;
    private readonly outcomes = new Map<string, ApplyOutcome>();

    /** Whether a version is known: from reading the log from its first record, from a snapshot or from a peer. */
    get isKnown(): boolean {
        return this.isVersionKnown;
    }

    /** Whether records were trimmed before this reader read them, and no snapshot or peer's version covers them yet. */
    get hasGap(): boolean {
        return this.gap !== undefined;
    }

    /** Offset of the accepted apply in force, or `emptyVersion`. */
    get version(): number {
        return this.currentVersion;
    }

    get offerings(): OfferingsState {
        return this.state;
    }

    /** Offset of the next record to read. */
    get nextOffset(): number {
        return this.next;
    }

    /** Folds a page and returns the outcomes of the applies in it. */
    foldPage(page: LogPage): ApplyOutcome[] {
        if (page.earliest > this.next) {
            this.openGap(page.earliest);
        }
        else if (this.next === 0 && this.gap === undefined) {
            this.isVersionKnown = true;
        }
        const outcomes: ApplyOutcome[] = [];
        for (const { offset, data } of page.records) {
            if (offset < this.next) {
                continue;
            }
            this.next = offset + 1;
            const outcome = this.foldRecord(offset, data);
            if (outcome !== undefined) {
                outcomes.push(outcome);
            }
        }
        return outcomes;
    }

    /** Applies an accepted change from a peer if its base is the version in force. Returns whether it was applied. */
    foldPeerChange(accepted: AcceptedChange): boolean {
        if (!this.isVersionKnown || accepted.base !== this.currentVersion || accepted.version <= this.currentVersion) {
            return false;
        }
        if (this.state.readDigestAfter(accepted.change) !== accepted.digest) {
            return false;
        }
        this.applyAccepted(accepted);
        return true;
    }

    /**
     * Applies a peer's complete version if it is newer than the version in force, or closes the gap with it. Returns
     * whether either happened.
     */
    foldPeerVersion(whole: CompleteVersion): boolean {
        const isNewer = !this.isVersionKnown || whole.version > this.currentVersion;
        if (this.gap !== undefined) {
            return this.closeGap(whole) || (isNewer && this.setState(whole));
        }
        if (!isNewer || !this.setState(whole)) {
            return false;
        }
        if (whole.asOf > this.next) {
            this.next = whole.asOf;
            this.chunks.removeBefore(whole.asOf);
        }
        return true;
    }

    /** Accepted changes after `version`, oldest first; undefined if the chain from `version` is no longer retained. */
    listChangesAfter(version: number): AcceptedChange[] | undefined {
        if (version === this.currentVersion) {
            return [];
        }
        const start = this.recentChanges.findIndex(change => change.base === version);
        return start < 0 ? undefined : this.recentChanges.slice(start);
    }

    /** The complete version in force, for a peer. */
    readCompleteVersion(): CompleteVersion {
        // A peer that starts from this version must still read the chunks of uncommitted records.
        const asOf = Math.min(this.gap?.start ?? this.next, this.chunks.findOldestOffset() ?? this.next);
        return {
            version: this.currentVersion,
            asOf,
            digest: this.state.digest,
            entries: [...this.state.listEntries()],
        };
    }

    /**
     * The snapshot to append; undefined while this reader knows no version or has a gap. Readers discard uncommitted
     * chunked records that began before the snapshot's `asOf`.
     * @param at Time of writing, in milliseconds since 1970.
     */
    createSnapshot(at: number): SnapshotRecord | undefined {
        if (!this.isVersionKnown || this.gap !== undefined) {
            return undefined;
        }
        return { kind: "snapshot", ...this.readCompleteVersion(), asOf: this.next, at };
    }

    /**
     * Time at which the oldest record that a reader without peers needs was written, in milliseconds since 1970. That
     * record is the last snapshot or, without a snapshot, the first apply. Undefined before either was read.
     */
    get oldestNeededAt(): number | undefined {
        return this.neededAt;
    }

    /** Outcome of an apply; undefined if the apply is not folded yet, or its outcome is no longer retained. */
    findOutcome(applyId: string): ApplyOutcome | undefined {
        return this.outcomes.get(applyId);
    }

    /**
     * Opens a gap for records that were trimmed before they were read. The version in force stays until a snapshot or a
     * peer's version covers the gap, or a peer sends a newer version.
     */
    private openGap(earliest: number): void {
        this.chunks.removeBefore(earliest);
        this.gap = { start: this.gap?.start ?? this.next, end: earliest, records: [], lastBroken: -1 };
        this.next = earliest;
    }

    private foldRecord(offset: number, data: string): ApplyOutcome | undefined {
        const assembled = this.chunks.receive(offset, data);
        if (assembled.kind === "broken" && this.gap !== undefined) {
            this.gap.lastBroken = offset;
        }
        if (assembled.kind !== "content") {
            return undefined;
        }
        const { record } = assembled;
        this.neededAt = record.kind === "snapshot" ? record.at : this.neededAt ?? record.at;
        if (record.kind === "snapshot") {
            // Readers that start from this snapshot lack the earlier chunks, so no reader may use them.
            this.chunks.removeBefore(record.asOf);
        }
        if (this.gap === undefined) {
            return record.kind === "apply" ? this.foldApply(offset, record) : undefined;
        }
        this.gap.records.push({ offset, record });
        if (record.kind === "snapshot") {
            this.closeGap(record);
        }
        return undefined;
    }

    /** Closes the gap if `whole` covers it, and folds the records that `whole` does not include. */
    private closeGap(whole: CompleteVersion): boolean {
        const gap = this.gap;
        if (gap === undefined || whole.asOf < gap.end || gap.lastBroken >= whole.asOf) {
            return false;
        }
        if (whole.version > this.currentVersion || !this.isVersionKnown) {
            if (!this.setState(whole)) {
                return false;
            }
        }
        this.gap = undefined;
        this.next = Math.max(this.next, whole.asOf);
        for (const { offset, record } of gap.records) {
            if (record.kind === "apply" && offset >= whole.asOf) {
                this.foldApply(offset, record);
            }
        }
        return true;
    }

    private foldApply(offset: number, record: ApplyRecord): ApplyOutcome | undefined {
        const { applyId, base, digest, change } = record;
        const earlier = this.outcomes.get(applyId);
        if (earlier?.accepted) {
            return earlier;
        }
        if (offset < this.currentVersion) {
            // The version in force came from a peer that had read more. It covers this record; the outcome is unknown.
            return undefined;
        }
        if (offset === this.currentVersion) {
            return this.recordOutcome({ applyId, offset, accepted: true });
        }
        if (base !== this.currentVersion) {
            return this.recordOutcome({ applyId, offset, accepted: false, reason: "baseMoved" });
        }
        if (this.state.readDigestAfter(change) !== digest) {
            return this.recordOutcome({ applyId, offset, accepted: false, reason: "digestMismatch" });
        }
        this.applyAccepted({ version: offset, base, digest, applyId, change });
        return this.outcomes.get(applyId);
    }

    private applyAccepted(accepted: AcceptedChange): void {
        this.state.applyChange(accepted.change);
        this.currentVersion = accepted.version;
        this.recordOutcome({ applyId: accepted.applyId, offset: accepted.version, accepted: true });
        // A change of this size is sent as a complete version; retaining it would hold its entries twice.
        if (accepted.change.set.length + accepted.change.remove.length > maxRetainedEntries) {
            this.recentChanges.length = 0;
            return;
        }
        this.recentChanges.push(accepted);
        if (this.recentChanges.length > maxRetained) {
            this.recentChanges.shift();
        }
    }

    private recordOutcome(outcome: ApplyOutcome): ApplyOutcome {
        this.outcomes.delete(outcome.applyId);
        this.outcomes.set(outcome.applyId, outcome);
        if (this.outcomes.size > maxRetained) {
            const [oldest] = this.outcomes.keys();
            this.outcomes.delete(oldest!);
        }
        return outcome;
    }

    private setState(whole: CompleteVersion): boolean {
        // An older snapshot may still be read after a newer version was received from a peer.
        if (whole.version < this.currentVersion) {
            return false;
        }
        const state = new OfferingsState();
        state.applyChange({ set: whole.entries, remove: [] });
        if (state.digest !== whole.digest) {
            return false;
        }
        this.state = state;
        this.currentVersion = whole.version;
        this.isVersionKnown = true;
        this.recentChanges.length = 0;
        return true;
    }
}
