import type { RawHeaders } from "../ports.js";
import { hasHeader } from "./caller.js";

/** Whether only the close of its connection marks the end of a response. */
export function isEndedByClose(method: string, status: number, headers: RawHeaders): boolean {
    return hasBody(method, status) && !hasMessageFraming(headers);
}

/** Whether a response has a body, which some never have, whatever their headers say. */
function hasBody(method: string, status: number): boolean {
    return method !== "HEAD" && status !== 204 && status !== 304;
}

/** Whether the headers of a response define where its body ends. */
function hasMessageFraming(headers: RawHeaders): boolean {
    return hasHeader(headers, "content-length") || hasHeader(headers, "transfer-encoding");
}

/** Returns the headers of a response with the length of its complete body. */
export function createBodyHeaders(headers: readonly string[], body: Buffer): string[] {
    return [...createStreamHeaders(headers), "Content-Length", String(body.length)];
}

/** Returns the headers of a response whose length is not known: its upstream's length is wrong once it is resumed. */
export function createStreamHeaders(headers: readonly string[]): string[] {
    return headers.filter((_text, index) => headers[index - index % 2]!.toLowerCase() !== "content-length");
}
