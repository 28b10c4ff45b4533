import { HttpServiceClient, type UpstreamConnections } from "@radishreel/upstreams";
import { createMayHaveRun, type Verdict } from "@radishreel/verdict";
import { readForwardedHeaders } from "./calls.js";
import { createPeerProof, peerProofHeader } from "./peers.js";
import { type CallerRequest, deadlineHeader, requestTokenHeader } from "./request.js";
import { type CallerResponse, outcomeRetrySeconds } from "./response.js";

/** Headers that the issuing gateway needs to handle the request as if the caller had sent it there directly. */
const forwardedRequestHeaders = ["authorization", "content-type", "accept", requestTokenHeader];

/**
 * Forwards a request to the gateway that issued its token or took over the ledger. A failure on the way leaves open
 * whether an earlier attempt of the caller ran, so only the issuing gateway itself may report `not-run`.
 */
export async function forwardRequest(
    connections: UpstreamConnections,
    secret: string,
    silenceMs: number,
    address: string,
    request: CallerRequest,
    response: CallerResponse,
): Promise<Verdict> {
    const headers: Record<string, string> = {
        [peerProofHeader]: createPeerProof(secret, request.method, request.path, request.body, Date.now()),
        [deadlineHeader]: String(Math.max(1, Math.round(request.deadlineAt - performance.now()))),
    };
    for (const name of forwardedRequestHeaders) {
        const value = request.headers[name];
        if (typeof value === "string") {
            headers[name] = value;
        }
    }
    const call = new HttpServiceClient(connections).open({
        address,
        method: request.method,
        path: request.path,
        headers,
        body: request.body.length === 0 ? undefined : request.body,
        silenceMs,
        receiver: {
            receiveHead: (status, answered) => response.begin(status, readForwardedHeaders(answered)),
            receiveData: chunk => {
                if (!response.write(chunk)) {
                    call.pause();
                }
            },
        },
    });
    response.onDrain(() => call.resume());
    const { verdict } = await call.end;
    const reportedVerdict: Verdict = verdict.kind === "complete"
        ? verdict
        : createMayHaveRun(
            "issuerUnreachable",
            `the gateway that issued the request token: ${verdict.detail}`,
            outcomeRetrySeconds,
        );
    response.finish(reportedVerdict);
    return reportedVerdict;
}
