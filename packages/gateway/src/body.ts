import { createRefused, type RefusedVerdict } from "@radishreel/verdict";
import { ByteBuffer } from "@radishreel/wire";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";

/** Time after which a body may be refused in favour of others, and `Retry-After` of such a refusal, in milliseconds. */
const yieldMs = 1000;

/** Options of {@link BodyReader}. */
export interface BodyReaderOptions {
    /** Largest body, in bytes. */
    readonly maxBytes: number;
    /** Most bytes of all bodies that are not complete. A body that is the only one may be larger. */
    readonly maxArrivingBytes: number;
}

/** Why the rest of a body is not read; undefined for one that breaks off. */
type BodyEnd = RefusedVerdict | undefined;

interface ArrivingBody {
    readonly startedAt: number;
    readonly bytes: ByteBuffer;
    readonly end: (reason: BodyEnd) => void;
}

/** Reads bodies of requests within a time, and bounds what those hold that are not complete. */
export class BodyReader {
    /** In the order in which they began. */
    private readonly arriving = new Set<ArrivingBody>();
    private arrivingBytes = 0;

    constructor(private readonly options: BodyReaderOptions) {}

    /** Reads the whole body of a request. @param timeoutMs Longest time for it, in milliseconds. */
    async read(request: IncomingMessage, timeoutMs: number): Promise<Result<Buffer, RefusedVerdict>> {
        const { maxBytes } = this.options;
        if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
            return err(createOversized(maxBytes));
        }
        const broken = createRefused("malformedBody", "the body did not arrive whole");
        return new Promise(resolve => {
            const finish = (result: Result<Buffer, RefusedVerdict>): void => {
                clearTimeout(timer);
                request.off("data", receive).off("end", receiveEnd).pause();
                this.remove(body);
                resolve(result);
            };
            const body: ArrivingBody = {
                startedAt: performance.now(),
                bytes: new ByteBuffer(),
                end: reason => finish(err(reason ?? broken)),
            };
            const receive = (piece: Buffer): void => this.receive(body, piece);
            const receiveEnd = (): void => {
                this.remove(body);
                finish(ok(body.bytes.popAll()));
            };
            const late = createRefused("bodyLate", "the body did not arrive before the deadline");
            const timer = setTimeout(() => body.end(late), timeoutMs);
            this.arriving.add(body);
            request.on("error", () => {}).once("close", () => this.arriving.has(body) && body.end(undefined));
            request.on("data", receive).on("end", receiveEnd);
        });
    }

    private receive(body: ArrivingBody, piece: Buffer): void {
        const { maxBytes, maxArrivingBytes } = this.options;
        body.bytes.push(piece);
        this.arrivingBytes += piece.length;
        if (body.bytes.length > maxBytes) {
            body.end(createOversized(maxBytes));
            return;
        }
        while (this.arrivingBytes > maxArrivingBytes && this.arriving.size > 1 && this.arriving.has(body)) {
            const [oldest = body] = this.arriving;
            const refused = performance.now() - oldest.startedAt >= yieldMs ? oldest : body;
            refused.end(createRefused("bodiesFull", "too many bodies arrive at this gateway", yieldMs / 1000));
        }
    }

    /** Stops counting a body, before its bytes are taken out. */
    private remove(body: ArrivingBody): void {
        if (this.arriving.delete(body)) {
            this.arrivingBytes -= body.bytes.length;
        }
    }
}

function createOversized(maxBytes: number): RefusedVerdict {
    return createRefused("oversizedBody", `the body is larger than ${maxBytes} bytes`);
}
