import type { Upstream } from "@radishreel/fleet";
import { ByteBuffer } from "@radishreel/wire";
import { type ScheduledRun, scheduleWhileAwake } from "../clock.js";
import type { IdentityCall, RawHeaders, RequestDialect, ShownIdentity } from "../ports.js";
import type { ConnectionPool } from "./connectionpool.js";
import type { UpstreamConnection } from "./connections.js";
import { Exchange } from "./exchange.js";

/** Longest wait for an answer to a call that was written, in milliseconds: a sound upstream may be silent for a second. */
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
export async function askIdentity(upstream: Upstream, options: AskIdentityOptions): Promise<IdentityAnswer> {
    const { pool, dialect, readTime, call, isFresh } = options;
    const connection = pool.claim(upstream.id, upstream.address, isFresh, Infinity);
    // Right after another response, one without the identifier of the call may be a second response to that request.
    const needsRequestId = !connection.isReusable(readTime());
    const shown = await readIdentity(connection, upstream, { dialect, call, needsRequestId });
    if (shown === "incarnation" || shown === "name") {
        pool.release(upstream.id, connection, readTime());
    }
    else {
        connection.close();
    }
    return { shown, openedAt: connection.openedAt };
}

/** Options of {@link readIdentity}. */
interface ReadIdentityOptions extends Pick<AskIdentityOptions, "dialect" | "call"> {
    /** Whether an answer counts only if it echoes the identifier of the call. */
    readonly needsRequestId: boolean;
}

/** Asks the process at the other end of a connection which incarnation it is. */
function readIdentity(
    connection: UpstreamConnection,
    upstream: Upstream,
    { dialect, call, needsRequestId }: ReadIdentityOptions,
): Promise<ShownIdentity> {
    return new Promise(resolve => {
        const body = new ByteBuffer();
        let status = 0;
        let headers: RawHeaders = [];
        let timer: ScheduledRun | undefined;
        const finish = (shown: ShownIdentity): void => {
            timer?.cancel();
            resolve(shown);
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
            checkBeforeSend: () => {
                timer = scheduleWhileAwake(cancel, answerLimitMs);
                return true;
            },
            receiver: {
                receiveHead: (receivedStatus, receivedHeaders) => {
                    status = receivedStatus;
                    headers = receivedHeaders;
                },
                receiveData: chunk => {
                    body.push(chunk);
                    if (body.length > maxBodyBytes) {
                        cancel();
                    }
                },
                receiveEnd: () => {
                    const { requestId } = dialect.parseResponse(status, headers);
                    const isForCall = requestId === undefined ? !needsRequestId : requestId === call.requestId;
                    const response = { status, headers, body: body.popAll().toString() };
                    finish(isForCall ? dialect.parseIdentity(upstream, response) : "nothing");
                },
                receiveBreak: () => finish("nothing"),
            },
        });
        exchange.start();
    });
}
