// A worker of a plain service answers with bodies without end, in chunks of a few bytes.
import { fileURLToPath } from "node:url";
import { zones } from "../standins-2/deployment.mjs";
import { main } from "../standins-2/trouble.mjs";
import { createPlainAnswer, Worker } from "../standins-2/worker.mjs";

/** Figures of the sheet: work and deadline of a request, in milliseconds, and the route's timeout. */
const workMs = 86;
const deadlineMs = 3000;
const timeoutMs = 2000;

/** Bytes of each chunk of a body without end. */
const pieceBytes = Number(process.env["PIECE_BYTES"] ?? 4);

const route = {
    hostname: "a.example",
    service: "zam-desk",
    "timeout-ms": timeoutMs,
    "target-latency-ms": 386,
    priority: 2,
};
const workers = zones.map((zone, index) => ({
    worker: new Worker({ id: `i-desk-${index + 1}`, answer: createPlainAnswer(workMs) }),
    entry: { service: "zam-desk", zone, slots: 6 },
}));

await main({
    folder: fileURLToPath(new URL(".", import.meta.url)),
    deployment: {
        routes: [
            { ...route, name: "label-print", "path-prefix": "/label/", kind: "unsafe", "max-attempts": 1 },
            { ...route, name: "parcel-look", "path-prefix": "/parcel/", kind: "safe", "max-attempts": 2 },
        ],
        services: [{ name: "zam-desk", "health-check": "/health", "max-connections": 100 }],
        workers,
        vmCount: 2,
    },
    // The sheet's 6.28 and 6.45 requests a second, over two VMs.
    traffic: [
        { path: "/label/1", perSecond: 3, budgetMs: deadlineMs, isKept: true },
        { path: "/parcel/1", perSecond: 3, budgetMs: deadlineMs, method: "GET" },
    ],
    trouble: { workers: [workers[0].worker], pieceBytes },
    checked: { path: "/label/1", timeoutMs },
});
