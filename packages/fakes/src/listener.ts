import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** Options that every fake has. */
export interface FakeOptions {
    /** @default "127.0.0.1" */
    readonly host?: string;
    /** 0 lets the system choose. @default 0 */
    readonly port?: number;
}

/** Reads the whole body of a request. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}

/** An HTTP listener that can stop at once, as a VM that fails does. */
export abstract class FakeListener {
    private readonly server: Server = createServer((request, response) => void this.receive(request, response));
    private readonly sockets = new Set<Socket>();
    private currentPort = 0;

    constructor(private readonly fakeOptions: FakeOptions = {}) {
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
    }

    get address(): string {
        return `${this.fakeOptions.host ?? "127.0.0.1"}:${this.currentPort}`;
    }

    /** Starts to listen. A second start after a stop takes the same port. */
    async start(): Promise<string> {
        const port = this.currentPort === 0 ? this.fakeOptions.port ?? 0 : this.currentPort;
        await new Promise<void>(resolve => this.server.listen(port, this.fakeOptions.host ?? "127.0.0.1", resolve));
        this.currentPort = (this.server.address() as AddressInfo).port;
        return this.address;
    }

    /** Stops at once: connections are closed whatever they carry. */
    async stop(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        for (const socket of this.sockets) {
            socket.destroy();
        }
        await closed;
    }

    /** Acts on a request and answers it. */
    protected abstract receive(request: IncomingMessage, response: ServerResponse): Promise<void>;
}
