/** Authenticated CBOR frames over TCP, checked against a schema and limited in size, and reading in bounded shares. */
export { isAddress, type ListenAddress, parseAddress } from "./address.js";
export { ByteBuffer } from "./bytebuffer.js";
export { LinkClient, type LinkClientOptions } from "./client.js";
export { encodeFrame, frameHeaderBytes, FrameReader } from "./frame.js";
export { checkProof, createHello, createProof, type Hello } from "./handshake.js";
export { createHttpServer, HttpConnections, type HttpLimits, type HttpServerOptions } from "./httpconnections.js";
export { Link, type LinkEvents, type LinkOptions } from "./link.js";
export { hasOrderlyEnd } from "./orderlyend.js";
export { readAll } from "./readall.js";
export { ReadQueue, type ReadQueueOptions, readShareBytes } from "./readqueue.js";
export { LinkServer, type LinkServerOptions } from "./server.js";
export { SocketReader, type SocketReaderOptions } from "./socketreader.js";
export { StatusLineCheck } from "./statuslines.js";
export { LinkTicker } from "./ticker.js";
export { findCodingFault } from "./transfercodings.js";
export {
    type CloseReason,
    formatIncarnation,
    type LinkLimits,
    type NodeIdentity,
    nodeIdentitySchema,
    protocolVersion,
    resolveLinkLimits,
} from "./types.js";
