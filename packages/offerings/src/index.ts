/** Declarative offerings: their schema, the change between two versions, and the fold of the log into the one in force. */
export { checkOfferings, createChange, listOfferingsEntries, type OfferingsMistake } from "./change.js";
export { EntryDigest, formatCanonical } from "./digest.js";
export {
    type AcceptedChange,
    type ApplyOutcome,
    maxKeptEntries,
    OfferingsFold,
    type VoidReason,
    type WholeVersion,
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
    type Adapter,
    type Change,
    changeSchema,
    type Customer,
    type CustomerClass,
    customerClassSchema,
    type Entry,
    entrySchema,
    type Offerings,
    offeringsSchema,
    type Policy,
    policySchema,
    type Service,
} from "./schema.js";
export { type ModelName, type NamedCustomer, OfferingsState, parseModelName } from "./state.js";
