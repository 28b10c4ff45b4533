import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** Options of all fakes. */
export interface FakeListenerOptions {
    /** @default "127.0.0.1" */
    readonly host?: string;
    /** For 0 the system chooses a port. @default 0 */
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

/** Largest head of a request that the fakes accept, in bytes: more than the programs under test do. */
const maxHeaderSize = 256 * 1024;

/** HTTP listener that can stop abruptly, to simulate the failure of a VM. */
export abstract class FakeListener {
    private readonly server: Server = createServer(
        { maxHeaderSize },
        (request, response) => void this.receive(request, response),
    );
    private readonly sockets = new Set<Socket>();
    private currentPort = 0;

    constructor(private readonly fakeOptions: FakeListenerOptions = {}) {
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
    }

    get address(): string {
        return `${this.fakeOptions.host ?? "127.0.0.1"}:${this.currentPort}`;
    }

    /** Starts to listen, after a stop on the same port as before. Returns the address. */
    async start(): Promise<string> {
        const port = this.currentPort === 0 ? this.fakeOptions.port ?? 0 : this.currentPort;
        await new Promise<void>(resolve => this.server.listen(port, this.fakeOptions.host ?? "127.0.0.1", resolve));
        this.currentPort = (this.server.address() as AddressInfo).port;
        return this.address;
    }

    /** Stops at once and closes all connections, also those with open requests. */
    async stop(): Promise<void> {
        const closed = new Promise<void>(resolve => this.server.close(() => resolve()));
        for (const socket of this.sockets) {
            socket.destroy();
        }
        await closed;
    }

    /** Handles a request and sends the response. */
    protected abstract receive(request: IncomingMessage, response: ServerResponse): Promise<void>;
}
