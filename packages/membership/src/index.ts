/** The upstreams of a data centre, which of them are leaving, and the choice of an engine's owner. */
export { findOwner, rankNodes } from "./owners.js";
export { type KnownUpstream, type ListedVm, UpstreamDirectory, type UpstreamVm } from "./upstreams.js";
