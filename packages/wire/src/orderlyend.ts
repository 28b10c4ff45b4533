import type { Socket } from "node:net";

/**
 * Whether the peer ended a connection in order, as far as this process can tell. To be called while the socket emits `end`,
 * before this side is shut down: the system knows the peer's address after an orderly end only until then, and no longer
 * after a reset. The error of a reset alone is no proof: if bytes arrived together with the reset, or the write side took
 * the error, the socket emits `end` without one.
 *
 * Node.js keeps the address once it was read, so `remoteAddress` of the socket must not be read before.
 */
export function hasOrderlyEnd(socket: Socket): boolean {
    return socket.errored === null && socket.remoteAddress !== undefined;
}
