/** Who owns what in a data centre, and which upstreams are leaving. */
export { findOwner, rankNodes } from "./owners.js";
export { type KnownUpstream, type ListedVm, UpstreamDirectory, type UpstreamVm } from "./upstreams.js";
