import type { OfferingsFold } from "@radishreel/offerings";
import type { GatewayMetrics } from "@radishreel/telemetry";
import {
    createMayHaveRun,
    createRefused,
    type FailureVerdict,
    type RefusedVerdict,
    type Verdict,
} from "@radishreel/verdict";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import { CallerAnswer, jsonMediaType } from "./caller.js";
import { type CallContext, parseCall, runCall, servicesPrefix } from "./calls.js";
import { type CompletionContext, type CompletionPath, parseCompletion, runCompletion } from "./completions.js";
import type { Route } from "./listener.js";
import { checkPeerProof, peerProofHeader } from "./peers.js";
import { type CallerRequest, readBody, readCustomer, readDeadlineMs, requestTokenHeader } from "./request.js";
import { keptAnswerBytes, maxTokensAtOnce, type TokenDesk } from "./tokens.js";

/** What the callers' routes need of the gateway. */
export interface CallersContext {
    readonly fold: OfferingsFold;
    readonly metrics: GatewayMetrics;
    readonly completions: CompletionContext;
    readonly calls: CallContext;
    readonly tokens: () => TokenDesk;
    readonly secret: string;
    readonly maxBodyBytes: number;
    readonly defaultDeadlineMs: number | undefined;
    readonly createId: () => string;
    readonly isStopping: () => boolean;
}

/** Seconds after which a gateway that knows no offerings yet may be asked again. */
const noOfferingsRetrySeconds = 1;

const tokensBodySchema = z.strictObject({ count: z.number().int().min(1).max(maxTokensAtOnce).default(1) });

/** A request is answered when its handler settles. */
type CallerHandler = (request: CallerRequest, answer: CallerAnswer) => Promise<Verdict>;

/** The routes that callers use. Other gateways use the same ones, on another listener, with a proof. */
export class CallerRoutes {
    constructor(private readonly context: CallersContext) {}

    /** @param isPeer The routes are for other gateways, which prove themselves. */
    list(isPeer: boolean): Route[] {
        const createRoute = (method: Route["method"], pattern: string, handler: CallerHandler): Route => ({
            method,
            pattern,
            handler: (incoming, response, path) => this.receive(incoming, response, path, isPeer, handler),
        });
        const completionPaths: CompletionPath[] = ["/v1/chat/completions", "/v1/completions"];
        return [
            ...completionPaths.map(path =>
                createRoute("post", path, (request, answer) => this.handleCompletion(request, answer, path))
            ),
            createRoute("get", "/v1/models", (request, answer) => this.handleModels(request, answer)),
            createRoute("post", "/v1/request-tokens", (request, answer) => this.handleTokens(request, answer)),
            createRoute("all", `${servicesPrefix}*`, (request, answer) => this.handleCall(request, answer)),
        ];
    }

    /** Answers a path that no route matches. */
    sendUnknownRoute(response: ServerResponse): void {
        const answer = this.createAnswer(response, 0);
        this.refuse(answer, createRefused("unknownRoute", "no such path; see docs/guide/callers.md"));
    }

    private async receive(
        incoming: IncomingMessage,
        response: ServerResponse,
        path: string,
        isPeer: boolean,
        handler: CallerHandler,
    ): Promise<void> {
        const arrivedAt = performance.now();
        const { metrics } = this.context;
        const answer = this.createAnswer(
            response,
            incoming.headers[requestTokenHeader] === undefined ? 0 : keptAnswerBytes,
        );
        metrics.openRequests.inc();
        const request = await this.readRequest(incoming, path, isPeer, arrivedAt);
        if (request.isErr()) {
            this.refuse(answer, createRefusal(incoming.headers, request.error));
            metrics.openRequests.dec();
            return;
        }
        const verdict = await handler(request.value, answer);
        metrics.openRequests.dec();
        metrics.requests.inc({ class: request.value.customer.class, verdict: verdict.kind });
        if (verdict.kind !== "complete") {
            metrics.recordRefusal(verdict.reason);
        }
    }

    private createAnswer(response: ServerResponse, captureBytes: number): CallerAnswer {
        return new CallerAnswer({ response, captureBytes, closesConnection: this.context.isStopping() });
    }

    private refuse(answer: CallerAnswer, verdict: FailureVerdict): void {
        this.context.metrics.recordRefusal(verdict.reason);
        answer.sendFailure(verdict);
    }

    /** Everything that can be judged before anything is queued. */
    private async readRequest(
        incoming: IncomingMessage,
        path: string,
        isPeer: boolean,
        arrivedAt: number,
    ): Promise<Result<CallerRequest, RefusedVerdict>> {
        const { fold, maxBodyBytes, defaultDeadlineMs, secret, createId } = this.context;
        if (!fold.isKnown) {
            return err(createRefused("noOfferings", "this gateway knows no offerings yet", noOfferingsRetrySeconds));
        }
        const offerings = fold.offerings;
        const customer = readCustomer(incoming.headers, offerings);
        if (customer.isErr()) {
            return err(customer.error);
        }
        const deadlineMs = readDeadlineMs(incoming.headers, defaultDeadlineMs);
        if (deadlineMs.isErr()) {
            return err(deadlineMs.error);
        }
        const body = await readBody(incoming, maxBodyBytes);
        if (body.isErr()) {
            return err(body.error);
        }
        const method = incoming.method ?? "GET";
        if (
            isPeer && !checkPeerProof(secret, method, path, body.value, incoming.headers[peerProofHeader], Date.now())
        ) {
            return err(createRefused("notAllowed", "only other gateways of this deployment may use this listener"));
        }
        return ok({
            id: createId(),
            method,
            path,
            headers: incoming.headers,
            body: body.value,
            customer: customer.value,
            offerings,
            arrivedAt,
            deadlineAt: arrivedAt + deadlineMs.value,
            isForwarded: isPeer,
        });
    }

    private async handleCompletion(
        request: CallerRequest,
        answer: CallerAnswer,
        path: CompletionPath,
    ): Promise<Verdict> {
        const completion = parseCompletion(request, path);
        if (completion.isErr()) {
            return answer.sendFailure(createRefusal(request.headers, completion.error));
        }
        const hasToken = request.headers[requestTokenHeader] !== undefined;
        const run = (): Promise<Verdict> =>
            runCompletion(this.context.completions, request, completion.value, answer, hasToken);
        return this.runRequest(request, answer, hasToken, run);
    }

    private async handleCall(request: CallerRequest, answer: CallerAnswer): Promise<Verdict> {
        const call = parseCall(request);
        if (call.isErr()) {
            return answer.sendFailure(createRefusal(request.headers, call.error));
        }
        const hasToken = request.headers[requestTokenHeader] !== undefined;
        if (!call.value.isIdempotent && !hasToken) {
            const detail =
                `this call must not run twice: ask POST /v1/request-tokens for a token and show it in ${requestTokenHeader}`;
            return answer.sendFailure(createRefused("requestTokenRequired", detail));
        }
        const run = (): Promise<Verdict> => runCall(this.context.calls, request, call.value, answer, hasToken);
        return this.runRequest(request, answer, hasToken, run);
    }

    private async runRequest(
        request: CallerRequest,
        answer: CallerAnswer,
        hasToken: boolean,
        run: () => Promise<Verdict>,
    ): Promise<Verdict> {
        if (hasToken) {
            return this.context.tokens().runOnce(request, answer, run);
        }
        const verdict = await run();
        answer.finish(verdict);
        return verdict;
    }

    private async handleModels(request: CallerRequest, answer: CallerAnswer): Promise<Verdict> {
        const data = request.offerings.listModels(request.customer).map(id => ({
            id,
            object: "model",
            owned_by: "radishreel",
        }));
        answer.send(200, jsonMediaType, JSON.stringify({ object: "list", data }) + "\n");
        return { kind: "complete" };
    }

    private async handleTokens(request: CallerRequest, answer: CallerAnswer): Promise<Verdict> {
        const count = parseTokenCount(request.body);
        if (count.isErr()) {
            return answer.sendFailure(count.error);
        }
        const { tokens, expiresAt } = this.context.tokens().createTokens(request.customer.name, count.value);
        answer.send(
            200,
            jsonMediaType,
            JSON.stringify({ tokens, expiresAt: new Date(expiresAt).toISOString() }) + "\n",
        );
        return { kind: "complete" };
    }
}

/**
 * A refusal before the request token was judged. With a token the request may have run under an earlier attempt, of which
 * this gateway knows nothing yet: only the token's ledger can say `not-run`.
 */
function createRefusal(headers: IncomingMessage["headers"], verdict: RefusedVerdict): FailureVerdict {
    return headers[requestTokenHeader] === undefined
        ? verdict
        : createMayHaveRun(verdict.reason, verdict.detail, verdict.retryAfterSeconds);
}

function parseTokenCount(body: Buffer): Result<number, RefusedVerdict> {
    try {
        const parsed = tokensBodySchema.safeParse(body.length === 0 ? {} : JSON.parse(body.toString("utf8")));
        if (parsed.success) {
            return ok(parsed.data.count);
        }
    }
    catch {
        // Told below, like any other malformed body.
    }
    return err(createRefused("malformedBody", `expected {"count": n} with n from 1 to ${maxTokensAtOnce}`));
}
