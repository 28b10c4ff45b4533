/** Declarative offerings: schema, difference between versions, and fold of log records into the version in force. */
export { checkOfferings, createChange, listOfferingsEntries, type OfferingsIssue } from "./change.js";
export { EntryDigest, formatCanonical } from "./digest.js";
export {
    type AcceptedChange,
    type ApplyOutcome,
    type CompleteVersion,
    maxRetainedEntries,
    OfferingsFold,
    type RejectionReason,
} from "./fold.js";
export {
    type ApplyRecord,
    type ContentRecord,
    emptyVersion,
    encodeRecord,
    maxRecordLength,
    offeringsStream,
    type SnapshotRecord,
} from "./records.js";
export {
    type Account,
    type AccountClass,
    accountClassSchema,
    type Adapter,
    type Change,
    changeSchema,
    type Entry,
    entrySchema,
    type Offerings,
    offeringsSchema,
    type Policy,
    policySchema,
    type Service,
} from "./schema.js";
export { type ModelName, type NamedAccount, OfferingsState, parseModelName } from "./state.js";
