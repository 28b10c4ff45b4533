import type { LogPage } from "@radishreel/log";
import { ChunkAssembler } from "./chunks.js";
import { type ApplyRecord, type ContentRecord, emptyVersion, type SnapshotRecord } from "./records.js";
import type { Change, Entry } from "./schema.js";
import { OfferingsState } from "./state.js";

/** Why a record changed nothing. */
export type VoidReason = "baseMoved" | "digestMismatch";

/** What became of one apply. */
export interface ApplyOutcome {
    readonly applyId: string;
    readonly offset: number;
    readonly accepted: boolean;
    readonly reason?: VoidReason;
}

/** An accepted apply, as peers pass it on. */
export interface AcceptedChange {
    readonly version: number;
    readonly base: number;
    readonly digest: string;
    readonly applyId: string;
    readonly change: Change;
}

/** A whole version, as peers pass it on. */
export interface WholeVersion {
    readonly version: number;
    /** Every record below this offset is folded into the version. */
    readonly asOf: number;
    readonly digest: string;
    readonly entries: Entry[];
}

/** Accepted changes, and outcomes of applies, that are kept for peers and for the writers of applies. */
const maxKept = 256;

/** Entries of the largest change that is kept. */
export const maxKeptEntries = 2000;

/** Records read after others were trimmed unread, until a snapshot or a peer closes the gap. */
interface Gap {
    /** Offset up to which records were folded before. */
    readonly start: number;
    /** Offset of the first record after the gap. */
    readonly end: number;
    readonly records: { offset: number; record: ContentRecord; }[];
    /** Offset of the last record that cannot be read since the gap swallowed its beginning. */
    lastBroken: number;
}

/**
 * Folds the log's records, in offset order, into the offerings in force. Every reader of the same records reaches the
 * same version, and no reader ever goes back to an older one. See docs/design/configuration.md.
 */
export class OfferingsFold {
    private state = new OfferingsState();
    private currentVersion = emptyVersion;
    private known = false;
    private next = 0;
    private gap: Gap | undefined;
    private readonly chunks = new ChunkAssembler();
    private readonly kept: AcceptedChange[] = [];
    private neededAt: number | undefined;
    private readonly outcomes = new Map<string, ApplyOutcome>();

    /** Whether a version is known: the log was read from its first record, or a snapshot or a peer gave one. */
    get isKnown(): boolean {
        return this.known;
    }

    /** Whether records were trimmed before they were read here, and nothing has made up for them yet. */
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

    /** Offset to read from next. */
    get nextOffset(): number {
        return this.next;
    }

    /** Folds one page and returns the outcomes of the applies in it. */
    foldPage(page: LogPage): ApplyOutcome[] {
        if (page.earliest > this.next) {
            this.openGap(page.earliest);
        }
        else if (this.next === 0 && this.gap === undefined) {
            this.known = true;
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

    /** Takes an accepted change from a peer if it is the very next one here. */
    foldPeerChange(accepted: AcceptedChange): boolean {
        if (!this.known || accepted.base !== this.currentVersion || accepted.version <= this.currentVersion) {
            return false;
        }
        if (this.state.readDigestAfter(accepted.change) !== accepted.digest) {
            return false;
        }
        this.applyAccepted(accepted);
        return true;
    }

    /** Takes a whole version from a peer if it is newer than what is known here, or closes a gap. */
    foldPeerVersion(whole: WholeVersion): boolean {
        const isNewer = !this.known || whole.version > this.currentVersion;
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

    /** Accepted changes after `version`, oldest first; undefined where the chain from there is no longer kept. */
    listChangesAfter(version: number): AcceptedChange[] | undefined {
        if (version === this.currentVersion) {
            return [];
        }
        const start = this.kept.findIndex(change => change.base === version);
        return start < 0 ? undefined : this.kept.slice(start);
    }

    /** The whole version in force, for a peer. */
    readWhole(): WholeVersion {
        // A peer that starts here must still read the chunks of records that are not ended.
        const asOf = Math.min(this.gap?.start ?? this.next, this.chunks.findOldest() ?? this.next);
        return {
            version: this.currentVersion,
            asOf,
            digest: this.state.digest,
            entries: [...this.state.listEntries()],
        };
    }

    /**
     * The snapshot to append; undefined while this reader cannot vouch for one. It voids chunked records begun before.
     * @param at Time of writing, in milliseconds since 1970.
     */
    createSnapshot(at: number): SnapshotRecord | undefined {
        if (!this.known || this.gap !== undefined) {
            return undefined;
        }
        return { kind: "snapshot", ...this.readWhole(), asOf: this.next, at };
    }

    /**
     * When the oldest record was written that a reader without peers needs, in milliseconds since 1970: the last
     * snapshot, or before the first one the first apply. Undefined while there is nothing to keep.
     */
    get oldestNeededAt(): number | undefined {
        return this.neededAt;
    }

    /** What became of an apply; undefined if none of its records is folded yet, or was folded too long ago to tell. */
    findOutcome(applyId: string): ApplyOutcome | undefined {
        return this.outcomes.get(applyId);
    }

    /** Records were trimmed unread. The version in force stays, and moves again once something covers the gap. */
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
            // Readers that start with this snapshot lack the chunks before it, so nobody may use them.
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

    /** Ends the gap if `whole` covers it, and folds the records that `whole` does not hold. */
    private closeGap(whole: WholeVersion): boolean {
        const gap = this.gap;
        if (gap === undefined || whole.asOf < gap.end || gap.lastBroken >= whole.asOf) {
            return false;
        }
        if (whole.version > this.currentVersion || !this.known) {
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
            // A peer was ahead of the log; what this record did is part of the version, but cannot be told any more.
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
        // A change this large travels as a whole version; keeping it would hold its entries twice.
        if (accepted.change.set.length + accepted.change.remove.length > maxKeptEntries) {
            this.kept.length = 0;
            return;
        }
        this.kept.push(accepted);
        if (this.kept.length > maxKept) {
            this.kept.shift();
        }
    }

    private recordOutcome(outcome: ApplyOutcome): ApplyOutcome {
        this.outcomes.delete(outcome.applyId);
        this.outcomes.set(outcome.applyId, outcome);
        if (this.outcomes.size > maxKept) {
            const [oldest] = this.outcomes.keys();
            this.outcomes.delete(oldest!);
        }
        return outcome;
    }

    private setState(whole: WholeVersion): boolean {
        // Never backwards: an older snapshot may still be met after a newer version came from a peer.
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
        this.known = true;
        this.kept.length = 0;
        return true;
    }
}
