import { HttpServiceClient, type UpstreamConnections } from "@radishreel/upstreams";
import { createMayHaveRun, type Verdict } from "@radishreel/verdict";
import { askAgainSeconds, type CallerAnswer } from "./caller.js";
import { readPassedHeaders } from "./calls.js";
import { createPeerProof, peerProofHeader } from "./peers.js";
import { type CallerRequest, deadlineHeader, requestTokenHeader } from "./request.js";

/** Headers that the issuer needs to judge the request as if it had come to it. */
const forwardedHeaders = ["authorization", "content-type", "accept", requestTokenHeader];

/**
 * Passes a request on to the gateway that may run it. Whatever breaks on the way leaves open whether an earlier
 * attempt of the caller's ran, so that nothing here says `not-run` but the issuer itself.
 */
export async function forwardRequest(
    connections: UpstreamConnections,
    secret: string,
    silenceMs: number,
    address: string,
    request: CallerRequest,
    answer: CallerAnswer,
): Promise<Verdict> {
    const headers: Record<string, string> = {
        [peerProofHeader]: createPeerProof(secret, request.method, request.path, request.body, Date.now()),
        [deadlineHeader]: String(Math.max(1, Math.round(request.deadlineAt - performance.now()))),
    };
    for (const name of forwardedHeaders) {
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
            receiveHead: (status, answered) => answer.begin(status, readPassedHeaders(answered)),
            receiveData: chunk => {
                if (!answer.write(chunk)) {
                    call.pause();
                }
            },
        },
    });
    answer.onDrain(() => call.resume());
    const { verdict } = await call.end;
    const told: Verdict = verdict.kind === "complete"
        ? verdict
        : createMayHaveRun(
            "issuerUnreachable",
            `the gateway that issued the request token: ${verdict.detail}`,
            askAgainSeconds,
        );
    answer.finish(told);
    return told;
}
