import type { Socket } from "node:net";
import { createMachine, interpret, state, transition } from "robot3";
import type { z } from "zod";
import { encodeFrame, FrameReader } from "./frame.js";
import { checkProof, createHello, createProof, type Hello, helloSchema, proofSchema } from "./handshake.js";
import { LinkTicker } from "./ticker.js";
import { type CloseReason, type LinkLimits, type NodeIdentity, protocolVersion } from "./types.js";

/** Callbacks of a link. */
export interface LinkEvents<Message, Outgoing = Message> {
    /** Called when the peer has proved that it knows the secret. */
    onOpen(link: Link<Message, Outgoing>): void;
    onMessage(link: Link<Message, Outgoing>, message: Message): void;
    /** Called once per link, also for a link that never opened. */
    onClose(link: Link<Message, Outgoing>, reason: CloseReason): void;
    /** Called with the size of every sent frame and received chunk, which count against the control traffic budget. */
    onBytes?(direction: "sent" | "received", count: number): void;
    /** Called for every heartbeat and message on an open link. */
    onFrame?(direction: "sent" | "received", type: string): void;
}

/** Options of {@link Link}. */
export interface LinkOptions<Message, Outgoing = Message> {
    readonly socket: Socket;
    readonly self: NodeIdentity;
    /** Secret shared by all processes of a deployment. */
    readonly secret: string;
    readonly schema: z.ZodType<Message, Outgoing>;
    readonly limits: LinkLimits;
    /** Time in which the peer has to prove that it knows the secret, in milliseconds. @default unlimited */
    readonly handshakeMs?: number | undefined;
    /** Ticker shared by the links of a process. @default a separate one with the interval `heartbeatMs` */
    readonly ticker?: LinkTicker | undefined;
    readonly events: LinkEvents<Message, Outgoing>;
}

/** Frames of a peer until it has proved that it knows the secret, and their largest size in bytes. */
const handshakeFrames = 2;
const maxHandshakeBytes = 4 * 1024;

const heartbeatType = "heartbeat";
const heartbeat = encodeFrame({ type: heartbeatType });

/** States of a link. Messages are accepted only in the state `open`. */
const linkMachine = createMachine("greeting", {
    greeting: state(transition("hello", "proving"), transition("close", "closed")),
    proving: state(transition("proof", "open"), transition("close", "closed")),
    open: state(transition("close", "closed")),
    closed: state(),
});

/** One authenticated connection between two processes. The link owns its socket. */
export class Link<Message, Outgoing = Message> {
    private readonly service = interpret(linkMachine, () => {});
    private readonly reader: FrameReader;
    private readonly ownHello: Hello;
    private peerHello: Hello | undefined;
    private readonly createdAt = performance.now();
    private lastReceived = performance.now();
    private lastSent = performance.now();
    /** Whether the socket is corked: frames of the current tick are buffered and written together. */
    private isCorked = false;
    private readonly ticker: LinkTicker;
    private readonly onTick = (): void => this.checkLiveness();

    constructor(private readonly options: LinkOptions<Message, Outgoing>) {
        const { socket, limits } = options;
        this.reader = new FrameReader(limits.maxFrameBytes, { count: handshakeFrames, maxBytes: maxHandshakeBytes });
        this.ownHello = createHello(options.self);
        socket.setNoDelay(true);
        socket.on("data", chunk => this.receive(chunk));
        socket.on("error", () => this.close("peerClosed"));
        socket.on("close", () => this.close("peerClosed"));
        this.ticker = options.ticker ?? new LinkTicker(limits.heartbeatMs);
        this.ticker.add(this.onTick);
        this.write(encodeFrame(this.ownHello));
    }

    /**
     * Identity of the other side.
     * @throws {Error} before the peer's hello has arrived; see {@link hasPeer}.
     */
    get peer(): NodeIdentity {
        if (this.peerHello === undefined) {
            throw new Error("link.peer was read before the peer's hello arrived");
        }
        return this.peerHello.node;
    }

    /** Whether the peer's hello has arrived. */
    get hasPeer(): boolean {
        return this.peerHello !== undefined;
    }

    /** Time since the last received bytes, in milliseconds. */
    get receiveIdleMs(): number {
        return performance.now() - this.lastReceived;
    }

    get isOpen(): boolean {
        return this.service.machine.current === "open";
    }

    /** Sends a frame created by {@link encodeFrame}, so that a broadcast encodes its message only once. */
    sendEncoded(frame: Buffer, type: string): boolean {
        if (!this.isOpen) {
            return false;
        }
        this.write(frame);
        this.options.events.onFrame?.("sent", type);
        return true;
    }

    /** Sends one message. A link that is not open drops it, as if lost in transit, and returns false. */
    send(message: Outgoing): boolean {
        return this.isOpen && this.sendEncoded(encodeFrame(message), readType(message));
    }

    /** Closes the link. With the reason `asked`, frames sent before are still written. */
    close(reason: CloseReason): void {
        if (this.service.machine.current === "closed") {
            return;
        }
        this.service.send("close");
        this.ticker.remove(this.onTick);
        if (reason === "asked") {
            this.options.socket.end();
        }
        else {
            this.options.socket.destroy();
        }
        this.options.events.onClose(this, reason);
    }

    private write(frame: Buffer): void {
        const { socket, limits, events } = this.options;
        this.lastSent = performance.now();
        events.onBytes?.("sent", frame.length);
        this.scheduleFlush();
        socket.write(frame);
        if (socket.writableLength > limits.maxBufferedBytes) {
            this.close("overrun");
        }
    }

    /** Writes all frames of the current tick with one system call, which wakes the receiving process only once. */
    private scheduleFlush(): void {
        if (this.isCorked) {
            return;
        }
        const { socket } = this.options;
        this.isCorked = true;
        socket.cork();
        process.nextTick(() => {
            this.isCorked = false;
            socket.uncork();
        });
    }

    private receive(chunk: Buffer): void {
        this.lastReceived = performance.now();
        this.options.events.onBytes?.("received", chunk.length);
        const frames = this.reader.receive(chunk);
        if (frames.isErr()) {
            this.close(frames.error);
            return;
        }
        for (const frame of frames.value) {
            if (this.service.machine.current === "closed") {
                return;
            }
            this.receiveFrame(frame);
        }
    }

    private receiveFrame(frame: unknown): void {
        switch (this.service.machine.current) {
            case "greeting":
                this.receiveHello(frame);
                return;
            case "proving":
                this.receiveProof(frame);
                return;
            default:
                this.receiveMessage(frame);
        }
    }

    private receiveHello(frame: unknown): void {
        const hello = helloSchema.safeParse(frame);
        if (!hello.success) {
            this.close("malformedFrame");
            return;
        }
        if (hello.data.version !== protocolVersion) {
            this.close("wrongVersion");
            return;
        }
        this.peerHello = hello.data;
        this.service.send("hello");
        this.write(encodeFrame({ type: "proof", mac: createProof(this.options.secret, this.ownHello, hello.data) }));
    }

    private receiveProof(frame: unknown): void {
        const proof = proofSchema.safeParse(frame);
        if (!proof.success || this.peerHello === undefined) {
            this.close("malformedFrame");
            return;
        }
        if (!checkProof(this.options.secret, this.ownHello, this.peerHello, proof.data.mac)) {
            this.close("notAuthenticated");
            return;
        }
        this.service.send("proof");
        this.options.events.onOpen(this);
    }

    private receiveMessage(frame: unknown): void {
        this.options.events.onFrame?.("received", readType(frame));
        if (readType(frame) === heartbeatType) {
            return;
        }
        const message = this.options.schema.safeParse(frame);
        if (!message.success) {
            this.close("unknownMessage");
            return;
        }
        this.options.events.onMessage(this, message.data);
    }

    private checkLiveness(): void {
        const now = performance.now();
        const { limits: { heartbeatMs, silenceMs }, handshakeMs = Infinity } = this.options;
        if (!this.isOpen && now - this.createdAt > handshakeMs) {
            this.close("lateHandshake");
            return;
        }
        if (now - this.lastReceived > silenceMs) {
            this.close("silent");
            return;
        }
        // A heartbeat that falls due in the first half of the ticker's next interval is sent now.
        if (this.isOpen && now - this.lastSent >= heartbeatMs - this.ticker.intervalMs / 2) {
            this.write(heartbeat);
            this.options.events.onFrame?.("sent", heartbeatType);
        }
    }
}

/** Returns the `type` of a frame, or "other" for a frame without one. */
function readType(frame: unknown): string {
    const type = (frame as { type?: unknown; } | undefined)?.type;
    return typeof type === "string" ? type : "other";
}
