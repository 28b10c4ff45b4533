/** Clients that do not keep to the limits of a deployment, each on a connection of its own that stays open. */
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Time without progress after which a crowd counts as settled, in milliseconds: nothing more is taken from it. */
const settledMs = 2000;

/** Longest time for which a crowd may go on sending, in milliseconds. */
const sendTimeoutMs = 60_000;

/** Pause between two looks at a crowd, in milliseconds. */
const lookMs = 50;

/** Bytes that a client writes at a time. */
const writeBytes = 64 * 1024;

/** Options of a crowd. */
export interface CrowdOptions {
    /** Where the clients connect, as `host:port`. */
    readonly address: string;
    readonly clients: number;
    /** What each client sends first. */
    readonly start: string;
    /** What each client sends again and again after that. @default nothing */
    readonly unit?: string;
    /** How often each client sends the unit. @default 1 */
    readonly repeats?: number;
    /** What each client sends after the last unit. @default nothing */
    readonly end?: string;
    /** Whether the clients read what they are sent. @default true */
    readonly readsResponses?: boolean;
}

/** One client, which has sent all it wants to, has been refused, or waits until more is taken from it. */
class CrowdClient {
    readonly socket: Socket;
    received = "";
    private readonly unit: Buffer;
    private unitsLeft: number;
    private hasEnded = false;
    private readonly unitsPerWrite: number;

    constructor(private readonly options: CrowdOptions) {
        const { address, start, unit = "", repeats = 1, readsResponses = true } = options;
        const [host, port] = address.split(":");
        this.unitsPerWrite = Math.max(1, Math.floor(writeBytes / Math.max(1, unit.length)));
        this.unit = Buffer.from(unit.repeat(this.unitsPerWrite));
        this.unitsLeft = unit === "" ? 0 : repeats;
        this.socket = connect(Number(port), host);
        this.socket.on("error", () => {}).on("drain", () => this.send());
        if (readsResponses) {
            this.socket.on("data", bytes => this.receive(bytes));
        }
        else {
            this.socket.pause();
        }
        this.socket.write(start, "latin1");
        this.send();
    }

    /** Bytes that the kernel has taken from this client. */
    get sentBytes(): number {
        return this.socket.bytesWritten - this.socket.writableLength;
    }

    get isDone(): boolean {
        return this.socket.destroyed || (this.unitsLeft === 0 && this.socket.writableLength === 0);
    }

    /** Status of the first response; 0 if there was none. */
    get status(): number {
        return Number(/^HTTP\/1.1 (\d{3})/.exec(this.received)?.[1] ?? 0);
    }

    private receive(bytes: Buffer): void {
        this.received = (this.received + bytes.toString("latin1")).slice(0, writeBytes);
    }

    private send(): void {
        while (!this.socket.destroyed && this.unitsLeft > 0) {
            const units = Math.min(this.unitsLeft, this.unitsPerWrite);
            this.unitsLeft -= units;
            if (!this.socket.write(this.unit.subarray(0, units * (this.unit.length / this.unitsPerWrite)))) {
                return;
            }
        }
        if (!this.hasEnded && !this.socket.destroyed) {
            this.hasEnded = true;
            this.socket.write(this.options.end ?? "");
        }
    }
}

/** Clients that all send the same. */
export class Crowd {
    private readonly clients: CrowdClient[];

    constructor(options: CrowdOptions) {
        this.clients = Array.from({ length: options.clients }, () => new CrowdClient(options));
    }

    /** Waits until each client has sent everything or was disconnected, or until nothing more is taken from them. */
    async waitUntilSettled(): Promise<void> {
        const endAt = performance.now() + sendTimeoutMs;
        let sentBytes = -1;
        let progressAt = performance.now();
        while (performance.now() < endAt && this.clients.some(({ isDone }) => !isDone)) {
            const sum = this.clients.reduce((total, client) => total + client.sentBytes, 0);
            if (sum !== sentBytes) {
                sentBytes = sum;
                progressAt = performance.now();
            }
            else if (performance.now() - progressAt > settledMs) {
                return;
            }
            await sleep(lookMs);
        }
        // What the kernel has taken is still to be read.
        await sleep(settledMs);
    }

    /** Waits until each client has received something or was disconnected. */
    async waitForResponses(): Promise<void> {
        while (this.clients.some(({ socket, received }) => !socket.destroyed && received === "")) {
            await sleep(lookMs);
        }
    }

    /** Lists the status of the first response to each client; 0 for those without one. */
    listStatuses(): number[] {
        return this.clients.map(({ status }) => status);
    }

    /** Counts the clients that are still connected. */
    countOpen(): number {
        return this.clients.filter(({ socket }) => !socket.destroyed).length;
    }

    /** Disconnects all clients. */
    stop(): void {
        this.clients.forEach(({ socket }) => socket.destroy());
    }
}
