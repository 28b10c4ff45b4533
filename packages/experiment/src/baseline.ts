#!/usr/bin/env node
/** Baselines of the data path: a polka and undici pass-through, or a TCP pipe. Arguments: mode, upstream address. */
import { createServer as createHttpServer } from "node:http";
import { type AddressInfo, connect, createServer as createTcpServer, type Server } from "node:net";
import polka from "polka";
import { Pool } from "undici";

const [mode, upstream = ""] = process.argv.slice(2);

function startPipe(): Server {
    const [host = "", port = ""] = upstream.split(":");
    return createTcpServer(callerSocket => {
        const upstreamSocket = connect(Number(port), host);
        callerSocket.pipe(upstreamSocket).pipe(callerSocket);
        callerSocket.on("error", () => upstreamSocket.destroy());
        upstreamSocket.on("error", () => callerSocket.destroy());
    }).listen(0, "127.0.0.1");
}

function startPassThrough(): Server {
    const pool = new Pool(`http://${upstream}`);
    const server = createHttpServer();
    polka({ server }).post("*", (request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => {
            const headers = { "content-type": "application/json" };
            void pool.stream(
                { method: "POST", path: request.url, body: Buffer.concat(chunks), headers },
                ({ statusCode, headers: responseHeaders }) => {
                    response.writeHead(statusCode, { "content-type": String(responseHeaders["content-type"]) });
                    return response;
                },
            );
        });
    }).listen(0, "127.0.0.1");
    return server;
}

const server = mode === "pipe" ? startPipe() : startPassThrough();
server.on("listening", () => {
    process.stdout.write(
        JSON.stringify({ ready: mode, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }) + "\n",
    );
});
