import type { MessageOf } from "@radishreel/protocol";
import { type LedgerRecord, ledgerRecordSchema } from "@radishreel/tokens";
import type { UpstreamConnections } from "@radishreel/upstreams";
import { decode, encode } from "cbor-x";
import type { ServerResponse } from "node:http";
import { z } from "zod";
import { BodyReader } from "./body.js";
import type { Route } from "./listener.js";
import { checkPeerProof, createPeerProof, handoverPath, peerProofHeader } from "./peers.js";

/** Maximum size of a handover, in bytes. */
const maxHandoverBytes = 64 * 1024 * 1024;

/** Longest time for a handover to arrive, in milliseconds. */
const handoverTimeoutMs = 10_000;

/** Maximum time without a byte from the gateway that receives a handover, in milliseconds. */
const handoverIdleTimeoutMs = 5000;

const recordsSchema = z.array(ledgerRecordSchema);

/**
 * Hands token ledgers over to one other gateway (the heir) and returns its address, or undefined if no gateway
 * confirmed the handover. Once a gateway may have received the handover, no other gateway is tried: two heirs could
 * both run a request.
 */
export async function sendHandover(
    connections: UpstreamConnections,
    secret: string,
    gateways: MessageOf<"gateways">["gateways"],
    records: readonly LedgerRecord[],
    ownIssuer: string,
): Promise<string | undefined> {
    const body = encode(records);
    for (const { issuer, address } of gateways) {
        if (issuer === ownIssuer) {
            continue;
        }
        let status = 0;
        const end = await connections.open({
            address,
            method: "POST",
            path: handoverPath,
            headers: { [peerProofHeader]: createPeerProof(secret, "POST", handoverPath, body, Date.now()) },
            body,
            silenceMs: handoverIdleTimeoutMs,
            receiver: {
                receiveHead: head => {
                    status = head;
                },
                receiveData: () => {},
            },
        }).end;
        if (end.kind === "answered" && status === 200) {
            return address;
        }
        const isNotReceived = end.kind === "broken" ? end.phase === "connecting" : status === 503;
        if (!isNotReceived) {
            return undefined;
        }
    }
    return undefined;
}

/**
 * Creates the route on which this gateway takes over another gateway's token ledgers.
 * @param maxArrivingBytes Most bytes of handovers that are not complete; a single one may be larger.
 * @param onRecords Takes over the ledgers. Returns false if this gateway cannot.
 */
export function createHandoverRoute(
    secret: string,
    maxArrivingBytes: number,
    onRecords: (records: readonly LedgerRecord[]) => boolean,
): Route {
    const bodies = new BodyReader({ maxBytes: maxHandoverBytes, maxArrivingBytes });
    return {
        method: "post",
        pattern: handoverPath,
        handler: async (request, response) => {
            const body = await bodies.read(request, handoverTimeoutMs);
            const proof = request.headers[peerProofHeader];
            if (body.isErr() || !checkPeerProof(secret, "POST", handoverPath, body.value, proof, Date.now())) {
                sendStatus(response, 403);
                return;
            }
            const records = recordsSchema.safeParse(decode(body.value));
            if (!records.success) {
                sendStatus(response, 400);
                return;
            }
            sendStatus(response, onRecords(records.data) ? 200 : 503);
        },
    };
}

function sendStatus(response: ServerResponse, status: number): void {
    response.statusCode = status;
    response.end();
}
