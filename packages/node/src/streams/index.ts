export type { VersionClaims } from "./claims.js";
export type { StreamDirectory, StreamMessage } from "./directory.js";
export { endedRetrySeconds, type OriginSource, type StreamResolution } from "./resolver.js";
export { Streams } from "./streams.js";
