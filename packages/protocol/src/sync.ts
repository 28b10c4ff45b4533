import {
    type AcceptedChange,
    type Entry,
    maxRetainedEntries,
    type OfferingsFold,
    type WholeVersion,
} from "@radishreel/offerings";
import type { Message, MessageOf } from "./messages.js";

/** Entries in one part of a whole version: far below the largest frame. */
const entriesPerPart = 2000;

function countEntries(changes: readonly AcceptedChange[]): number {
    return changes.reduce((total, { change }) => total + change.set.length + change.remove.length, 0);
}

/** One side's part in keeping two processes at the same offerings. One instance for each link. */
export class OfferingsSync {
    private parts: Entry[] = [];

    constructor(private readonly fold: OfferingsFold) {}

    /** What to tell the peer when the link opens and after every change here. */
    createHave(): MessageOf<"have"> {
        const { version, isKnown, hasGap } = this.fold;
        return { type: "have", version, isKnown, hasGap };
    }

    /** What to ask of a peer that has what is missing here. */
    receiveHave(have: MessageOf<"have">): Message | undefined {
        if (!have.isKnown) {
            return undefined;
        }
        const { version, isKnown, hasGap } = this.fold;
        if (hasGap && !have.hasGap) {
            return { type: "want", version, isWhole: true };
        }
        if (!isKnown || have.version > version) {
            return { type: "want", version, isWhole: !isKnown };
        }
        return undefined;
    }

    /** What to send to a peer that asks. */
    receiveWant(want: MessageOf<"want">): Message[] {
        if (!this.fold.isKnown) {
            return [];
        }
        const changes = want.isWhole ? undefined : this.fold.listChangesAfter(want.version);
        if (changes !== undefined && countEntries(changes) <= maxRetainedEntries) {
            return [{ type: "changes", changes }];
        }
        return createParts(this.fold.readWhole());
    }

    /** Folds a chain of changes. Returns whether anything changed. */
    receiveChanges(message: MessageOf<"changes">): boolean {
        let changed = false;
        for (const change of message.changes) {
            changed = this.fold.foldPeerChange(change) || changed;
        }
        return changed;
    }

    /** Collects a whole version and folds it with its last part. Returns whether anything changed. */
    receivePart(message: MessageOf<"wholePart">): boolean {
        if (message.part === 0) {
            this.parts = [];
        }
        this.parts.push(...message.entries);
        if (!message.isLast) {
            return false;
        }
        const { version, asOf, digest } = message;
        const entries = this.parts;
        this.parts = [];
        return this.fold.foldPeerVersion({ version, asOf, digest, entries });
    }
}

function createParts(whole: WholeVersion): MessageOf<"wholePart">[] {
    const { version, asOf, digest, entries } = whole;
    const parts: MessageOf<"wholePart">[] = [];
    for (let start = 0; start === 0 || start < entries.length; start += entriesPerPart) {
        const end = start + entriesPerPart;
        parts.push({
            type: "wholePart",
            version,
            asOf,
            digest,
            part: parts.length,
            isLast: end >= entries.length,
            entries: entries.slice(start, end),
        });
    }
    return parts;
}
