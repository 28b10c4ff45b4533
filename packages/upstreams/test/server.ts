import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";

/** Where the exchange breaks, as the upstream decides it. */
export type BreakPoint =
    /** The connection is closed as soon as it opens. */
    | "accept"
    /** Closed after some bytes of the request. */
    | "request"
    /** Closed when the request is whole, before it is acted on. */
    | "beforeRun"
    /** Acted on, and closed without an answer. */
    | "afterRun"
    /** Acted on, and closed after some bytes of the answer. */
    | "answer"
    /** Refused before acting, with the header that says so. */
    | "refuse"
    /** Acted on and answered whole. */
    | "never"
    /** Acted on and never answered; the connection stays open. */
    | "silent";

/** What the upstream does with one request. */
export interface Plan {
    readonly point: BreakPoint;
    /** Bytes after which `request` and `answer` break. */
    readonly bytes: number;
    /** The whole answer, head and body. */
    readonly answer: string;
}

/** An upstream at the level of bytes, which records what it truly ran. */
export class ByteServer {
    runs = 0;
    plan: Plan = { point: "never", bytes: 0, answer: "" };
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
        const { point, bytes, answer } = this.plan;
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
            case "answer":
                this.runs++;
                socket.write(answer.slice(0, bytes), () => socket.destroy());
                return;
            default:
                this.runs++;
                socket.write(answer);
        }
    }
}

/** Length of the first whole request in `text`; undefined while it is not whole. */
function findRequestLength(text: string): number | undefined {
    const headEnd = text.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return undefined;
    }
    const bodyLength = Number(/content-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1] ?? 0);
    const end = headEnd + 4 + bodyLength;
    return text.length >= end ? end : undefined;
}

/** A streamed answer in chunked encoding. */
export function createStreamAnswer(model: string, tokens: number, hasEndMark = true): string {
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

/** An answer with a length. */
export function createPlainAnswer(body: string, status = 200): string {
    return `HTTP/1.1 ${status} Status\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}
