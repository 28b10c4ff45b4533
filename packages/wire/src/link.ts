import type { Socket } from "node:net";
import { createMachine, interpret, state, transition } from "robot3";
import type { z } from "zod";
import { encodeFrame, FrameReader } from "./frame.js";
import { checkProof, createHello, createProof, type Hello, helloSchema, proofSchema } from "./greeting.js";
import { LinkTicker } from "./ticker.js";
import { type CloseReason, type LinkLimits, type NodeIdentity, protocolVersion } from "./types.js";

/** What a link tells its owner. */
export interface LinkEvents<Message, Outgoing = Message> {
    /** The peer has proved that it knows the secret. */
    onOpen(link: Link<Message, Outgoing>): void;
    onMessage(link: Link<Message, Outgoing>, message: Message): void;
    /** Called once, whether or not the link was ever open. */
    onClose(link: Link<Message, Outgoing>, reason: CloseReason): void;
    /** Bytes that crossed the socket, for the control budget. */
    onBytes?(direction: "sent" | "received", count: number): void;
    /** A heartbeat or a message crossed an open link. */
    onFrame?(direction: "sent" | "received", type: string): void;
}

/** Options of {@link Link}. */
export interface LinkOptions<Message, Outgoing = Message> {
    readonly socket: Socket;
    readonly self: NodeIdentity;
    /** Shared by all processes of one deployment. */
    readonly secret: string;
    readonly schema: z.ZodType<Message, Outgoing>;
    readonly limits: LinkLimits;
    /** Shared by the links of a process. @default one of its own, every `heartbeatMs` */
    readonly ticker?: LinkTicker | undefined;
    readonly events: LinkEvents<Message, Outgoing>;
}

const heartbeatType = "heartbeat";
const heartbeat = encodeFrame({ type: heartbeatType });

/** Life of a link. Messages are taken in `open` only. */
const linkMachine = createMachine("greeting", {
    greeting: state(transition("hello", "proving"), transition("close", "closed")),
    proving: state(transition("proof", "open"), transition("close", "closed")),
    open: state(transition("close", "closed")),
    closed: state(),
});

/** One authenticated connection between two processes. It owns its socket and its timers. */
export class Link<Message, Outgoing = Message> {
    private readonly service = interpret(linkMachine, () => {});
    private readonly reader: FrameReader;
    private readonly ownHello: Hello;
    private peerHello: Hello | undefined;
    private lastReceived = performance.now();
    private lastSent = performance.now();
    /** Whether frames are gathered, to be written together at the end of this step. */
    private isGathering = false;
    private readonly ticker: LinkTicker;
    private readonly check = (): void => this.checkSilence();

    constructor(private readonly options: LinkOptions<Message, Outgoing>) {
        const { socket, limits } = options;
        this.reader = new FrameReader(limits.maxFrameBytes);
        this.ownHello = createHello(options.self);
        socket.setNoDelay(true);
        socket.on("data", chunk => this.receive(chunk));
        socket.on("error", () => this.close("peerClosed"));
        socket.on("close", () => this.close("peerClosed"));
        this.ticker = options.ticker ?? new LinkTicker(limits.heartbeatMs);
        this.ticker.add(this.check);
        this.write(encodeFrame(this.ownHello));
    }

    /** The other side. Only known once the link is open. */
    get peer(): NodeIdentity {
        if (this.peerHello === undefined) {
            throw new Error("the peer of a link is read before its hello");
        }
        return this.peerHello.node;
    }

    /** Whether the other side has said who it is. */
    get hasPeer(): boolean {
        return this.peerHello !== undefined;
    }

    /** Time since anything was received, in milliseconds. */
    get quietMs(): number {
        return performance.now() - this.lastReceived;
    }

    get isOpen(): boolean {
        return this.service.machine.current === "open";
    }

    /** Sends a message that {@link encodeFrame} has encoded, for those that go to many. */
    sendEncoded(frame: Buffer, type: string): boolean {
        if (!this.isOpen) {
            return false;
        }
        this.write(frame);
        this.options.events.onFrame?.("sent", type);
        return true;
    }

    /** Sends one message. A message to a link that is not open is dropped, as if it had been lost on the way. */
    send(message: Outgoing): boolean {
        return this.isOpen && this.sendEncoded(encodeFrame(message), readType(message));
    }

    /** Ends the link. Frames sent before are still written. */
    close(reason: CloseReason): void {
        if (this.service.machine.current === "closed") {
            return;
        }
        this.service.send("close");
        this.ticker.remove(this.check);
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
        this.scheduleWrite();
        socket.write(frame);
        if (socket.writableLength > limits.maxBufferedBytes) {
            this.close("overrun");
        }
    }

    /** What one step sends goes out in one call of the system, and wakes the other side once. */
    private scheduleWrite(): void {
        if (this.isGathering) {
            return;
        }
        const { socket } = this.options;
        this.isGathering = true;
        socket.cork();
        process.nextTick(() => {
            this.isGathering = false;
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

    private checkSilence(): void {
        const now = performance.now();
        const { heartbeatMs, silenceMs } = this.options.limits;
        if (now - this.lastReceived > silenceMs) {
            this.close("silent");
            return;
        }
        // One that would be due before the next call of the ticker has come by half of its interval is sent now.
        if (this.isOpen && now - this.lastSent >= heartbeatMs - this.ticker.intervalMs / 2) {
            this.write(heartbeat);
            this.options.events.onFrame?.("sent", heartbeatType);
        }
    }
}

/** What a frame says it is; "other" for one that does not say. */
function readType(frame: unknown): string {
    const type = (frame as { type?: unknown; } | undefined)?.type;
    return typeof type === "string" ? type : "other";
}
