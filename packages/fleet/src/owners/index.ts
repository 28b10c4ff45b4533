/** Which VMs own engines where VMs differ in size. */
export { OwnerCandidacy, type OwnerCandidacyOptions, type OwnerCandidate, readOwnerCount } from "./candidacy.js";
