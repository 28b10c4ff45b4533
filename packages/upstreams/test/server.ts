import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** Point at which the upstream breaks the exchange. */
export type BreakPoint =
    /** The upstream closes the connection as soon as it opens. */
    | "accept"
    /** The upstream closes the connection after some bytes of the request. */
    | "request"
    /** The upstream receives the whole request and closes the connection before running it. */
    | "beforeRun"
    /** The upstream runs the request and closes the connection without a response. */
    | "afterRun"
    /** The upstream runs the request and closes the connection after some bytes of the response. */
    | "response"
    /** The upstream refuses the request before running it, with the `x-not-run` header. */
    | "refuse"
    /** The upstream runs the request and sends the complete response. */
    | "never"
    /** The upstream runs the request and never responds; the connection stays open. */
    | "silent";

/** What the upstream does with one request. */
export interface ResponsePlan {
    readonly point: BreakPoint;
    /** Number of bytes after which `request` and `response` break. */
    readonly bytes: number;
    /** The complete response, head and body. */
    readonly response: string;
}

/** An upstream that can break an exchange at any byte, and counts the requests that it ran. */
export class ByteServer {
    runs = 0;
    plan: ResponsePlan = { point: "never", bytes: 0, response: "" };
    private readonly server: Server = createServer(socket => this.receive(socket));
    private readonly sockets = new Set<Socket>();

    async start(): Promise<string> {
        this.server.listen(0, "127.0.0.1");
        await once(this.server, "listening");
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    stop(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    private receive(socket: Socket): void {
        this.sockets.add(socket);
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("error", () => {});
        if (this.plan.point === "accept") {
            socket.destroy();
            return;
        }
        let received = "";
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            if (this.plan.point === "request" && received.length >= this.plan.bytes) {
                socket.destroy();
                return;
            }
            const length = findRequestLength(received);
            if (length !== undefined) {
                received = received.slice(length);
                this.run(socket);
            }
        });
    }

    private run(socket: Socket): void {
        const { point, bytes, response } = this.plan;
        switch (point) {
            case "refuse":
                socket.write("HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\ncontent-length: 2\r\n\r\n{}");
                return;
            case "beforeRun":
                socket.destroy();
                return;
            case "afterRun":
                this.runs++;
                socket.destroy();
                return;
            case "silent":
                this.runs++;
                return;
            case "response":
                this.runs++;
                socket.write(response.slice(0, bytes), () => socket.destroy());
                return;
            default:
                this.runs++;
                socket.write(response);
        }
    }
}

/** Length of the first complete request in `text`; undefined while the request is incomplete. */
function findRequestLength(text: string): number | undefined {
    const headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return undefined;
    }
    const bodyLength = Number(/content-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1] ?? 0);
    const end = headEnd + 4 + bodyLength;
    return text.length >= end ? end : undefined;
}

/** An event stream in chunked encoding. */
export function createStreamResponse(model: string, tokens: number, hasEndMark = true): string {
    const events = Array.from(
        { length: tokens },
        (_, index) => `data: ${JSON.stringify({ model, choices: [{ delta: { content: `t${index}` } }] })}\n\n`,
    );
    if (hasEndMark) {
        events.push("data: [DONE]\n\n");
    }
    const chunks = events.map(event => `${event.length.toString(16)}\r\n${event}\r\n`).join("");
    return `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
}

/** A response with a content-length. */
export function createPlainResponse(body: string, status = 200): string {
    return `HTTP/1.1 ${status} Status\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}
