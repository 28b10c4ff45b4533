import {
    type AcceptedChange,
    type CompleteVersion,
    type Entry,
    maxRetainedEntries,
    type OfferingsFold,
} from "@radishreel/offerings";
import type { Message, MessageOf } from "./messages.js";

/** Number of entries in one part of a complete version; keeps a part far below the largest frame size. */
const entriesPerPart = 2000;

function countEntries(changes: readonly AcceptedChange[]): number {
    return changes.reduce((total, { change }) => total + change.set.length + change.remove.length, 0);
}

/** One side of the synchronization of offerings between two processes. One instance per link. */
export class OfferingsSync {
    private parts: Entry[] = [];

    constructor(private readonly fold: OfferingsFold) {}

    /** Message to send to the peer when the link opens and after every change of the offerings here. */
    createHave(): MessageOf<"have"> {
        const { version, isKnown, hasGap } = this.fold;
        return { type: "have", version, isKnown, hasGap };
    }

    /** Reply to the peer's `have`: a `want` if the peer has a version that this side lacks, or can close its gap. */
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

    /** Reply to the peer's `want`: the changes if their chain is short and retained, else the complete version. */
    receiveWant(want: MessageOf<"want">): Message[] {
        if (!this.fold.isKnown) {
            return [];
        }
        const changes = want.isWhole ? undefined : this.fold.listChangesAfter(want.version);
        if (changes !== undefined && countEntries(changes) <= maxRetainedEntries) {
            return [{ type: "changes", changes }];
        }
        return createParts(this.fold.readCompleteVersion());
    }

    /** Folds a chain of changes. Returns whether the offerings changed. */
    receiveChanges(message: MessageOf<"changes">): boolean {
        let changed = false;
        for (const change of message.changes) {
            changed = this.fold.foldPeerChange(change) || changed;
        }
        return changed;
    }

    /** Collects the parts of a complete version and folds it after the last part. Returns whether it was applied. */
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

function createParts(whole: CompleteVersion): MessageOf<"wholePart">[] {
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
