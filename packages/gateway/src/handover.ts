import type { MessageOf } from "@radishreel/protocol";
import { type LedgerRecord, ledgerRecordSchema } from "@radishreel/tokens";
import type { UpstreamConnections } from "@radishreel/upstreams";
import { decode, encode } from "cbor-x";
import type { ServerResponse } from "node:http";
import { z } from "zod";
import type { Route } from "./listener.js";
import { checkPeerProof, createPeerProof, handoverPath, peerProofHeader } from "./peers.js";
import { readBody } from "./request.js";

/** Largest handover, in bytes. */
const maxHandoverBytes = 64 * 1024 * 1024;

/** Longest wait for an heir's answer, in milliseconds. */
const handoverSilenceMs = 5000;

const recordsSchema = z.array(ledgerRecordSchema);

/**
 * Hands ledgers over to one other gateway and returns its address. Once bytes may have reached a gateway no other is
 * asked: two heirs could both run a request.
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
            silenceMs: handoverSilenceMs,
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
        const isUntouched = end.kind === "broken" ? end.phase === "connecting" : status === 503;
        if (!isUntouched) {
            return undefined;
        }
    }
    return undefined;
}

/**
 * Route at which another gateway's ledgers are taken over.
 * @param onRecords Takes the ledgers, or says that this gateway cannot.
 */
export function createHandoverRoute(secret: string, onRecords: (records: readonly LedgerRecord[]) => boolean): Route {
    return {
        method: "post",
        pattern: handoverPath,
        handler: async (request, response) => {
            const body = await readBody(request, maxHandoverBytes);
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
