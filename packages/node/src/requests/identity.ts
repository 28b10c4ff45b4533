import type { Upstream } from "@radishreel/fleet";
import type { IdentityCall, RawHeaders, RequestDialect, ShownIdentity } from "../ports.js";
import type { ConnectionPool } from "./connections.js";
import { Exchange } from "./exchange.js";

/** Longest wait for an answer, in milliseconds: a sound upstream may be silent for a second. */
const answerLimitMs = 1300;

/** Maximum bytes of the body of an answer. */
const maxBodyBytes = 256 * 1024;

/** Options of {@link askIdentity}. */
export interface AskIdentityOptions {
    readonly pool: Pick<ConnectionPool, "claim" | "release">;
    readonly dialect: Pick<RequestDialect, "parseIdentity" | "parseResponse">;
    readonly readTime: () => number;
    readonly call: IdentityCall;
    /** Whether to open a new connection. */
    readonly isFresh: boolean;
}

/** Which incarnation answered, on which connection. */
export interface IdentityAnswer {
    readonly shown: ShownIdentity;
    /** When the connection had opened, in milliseconds; infinite if it had not. */
    readonly openedAt: number;
}

/** Asks the process at the address of an upstream which incarnation it is. Without a whole answer it shows nothing. */
export function askIdentity(upstream: Upstream, options: AskIdentityOptions): Promise<IdentityAnswer> {
    const { pool, dialect, readTime, call, isFresh } = options;
    const connection = pool.claim(upstream.id, upstream.address, isFresh, readTime());
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        let status = 0;
        let headers: RawHeaders = [];
        const finish = (shown: ShownIdentity): void => {
            clearTimeout(timer);
            resolve({ shown, openedAt: connection.openedAt });
        };
        const cancel = (): void => {
            exchange.cancel();
            finish("nothing");
        };
        const exchange = new Exchange({
            connection,
            method: "GET",
            path: call.path,
            headers: [...call.headers],
            body: undefined,
            receiver: {
                receiveHead: (receivedStatus, receivedHeaders) => {
                    status = receivedStatus;
                    headers = receivedHeaders;
                },
                receiveData: chunk => {
                    size += chunk.length;
                    chunks.push(chunk);
                    if (size > maxBodyBytes) {
                        cancel();
                    }
                },
                receiveEnd: () => {
                    const { requestId } = dialect.parseResponse(status, headers);
                    const isForCall = requestId === undefined || requestId === call.requestId;
                    const body = Buffer.concat(chunks).toString();
                    const shown = isForCall ? dialect.parseIdentity(upstream, { status, headers, body }) : "nothing";
                    if (shown === "incarnation" || shown === "name") {
                        pool.release(upstream.id, connection, readTime());
                    }
                    else {
                        connection.close();
                    }
                    finish(shown);
                },
                receiveBreak: () => finish("nothing"),
            },
        });
        const timer = setTimeout(cancel, answerLimitMs);
        exchange.start();
    });
}
