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
import type { BodyReader } from "./body.js";
import { type CallContext, parseCall, runCall, servicesPrefix } from "./calls.js";
import { type CompletionContext, type CompletionPath, parseCompletion, runCompletion } from "./completions.js";
import type { Route } from "./listener.js";
import { checkPeerProof, peerProofHeader } from "./peers.js";
import { type CallerRequest, readAccount, readDeadlineMs, requestTokenHeader } from "./request.js";
import { CallerResponse, jsonMediaType } from "./response.js";
import { maxStoredResponseBytes, maxTokensPerRequest, type TokenRegistry } from "./tokens.js";

/** Parts of the gateway that the callers' routes use. */
export interface CallersContext {
    readonly fold: OfferingsFold;
    readonly metrics: GatewayMetrics;
    readonly completions: CompletionContext;
    readonly calls: CallContext;
    readonly tokens: () => TokenRegistry;
    readonly secret: string;
    readonly bodies: BodyReader;
    readonly defaultDeadlineMs: number | undefined;
    readonly createId: () => string;
    readonly isStopping: () => boolean;
}

/** `Retry-After` of a gateway that has not received offerings yet, in seconds. */
const noOfferingsRetrySeconds = 1;

const tokensBodySchema = z.strictObject({ count: z.number().int().min(1).max(maxTokensPerRequest).default(1) });

/** Handles a request; the response is finished when the returned promise settles. */
type CallerHandler = (request: CallerRequest, response: CallerResponse) => Promise<Verdict>;

/** Routes for callers. Other gateways use the same routes on a separate listener, with a proof of their origin. */
export class CallerRoutes {
    constructor(private readonly context: CallersContext) {}

    /** @param isPeer Whether the routes are for other gateways, whose requests carry a peer proof. */
    list(isPeer: boolean): Route[] {
        const createRoute = (method: Route["method"], pattern: string, handler: CallerHandler): Route => ({
            method,
            pattern,
            handler: (incoming, response, path) => this.receive(incoming, response, path, isPeer, handler),
        });
        const completionPaths: CompletionPath[] = ["/v1/chat/completions", "/v1/completions"];
        return [
            ...completionPaths.map(path =>
                createRoute("post", path, (request, response) => this.handleCompletion(request, response, path))
            ),
            createRoute("get", "/v1/models", (request, response) => this.handleModels(request, response)),
            createRoute("post", "/v1/request-tokens", (request, response) => this.handleTokens(request, response)),
            createRoute("all", `${servicesPrefix}*`, (request, response) => this.handleCall(request, response)),
        ];
    }

    /** Responds to a path that no route matches. */
    sendUnknownRoute(response: ServerResponse): void {
        const callerResponse = this.createResponse(response, 0);
        this.refuse(callerResponse, createRefused("unknownRoute", "no such path; see docs/guide/callers.md"));
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
        const callerResponse = this.createResponse(
            response,
            incoming.headers[requestTokenHeader] === undefined ? 0 : maxStoredResponseBytes,
        );
        metrics.openRequests.inc();
        const request = await this.readRequest(incoming, path, isPeer, arrivedAt);
        if (request.isErr()) {
            this.refuse(callerResponse, createRefusal(incoming.headers, request.error));
            metrics.openRequests.dec();
            return;
        }
        const verdict = await handler(request.value, callerResponse);
        metrics.openRequests.dec();
        metrics.requests.inc({ class: request.value.account.class, verdict: verdict.kind });
        if (verdict.kind !== "complete") {
            metrics.recordRefusal(verdict.reason);
        }
    }

    private createResponse(response: ServerResponse, captureBytes: number): CallerResponse {
        return new CallerResponse({ response, captureBytes, closesConnection: this.context.isStopping() });
    }

    private refuse(response: CallerResponse, verdict: FailureVerdict): void {
        this.context.metrics.recordRefusal(verdict.reason);
        response.sendFailure(verdict);
    }

    /** Reads a request and makes the checks that need no parsing of its body, before the request is queued. */
    private async readRequest(
        incoming: IncomingMessage,
        path: string,
        isPeer: boolean,
        arrivedAt: number,
    ): Promise<Result<CallerRequest, RefusedVerdict>> {
        const { fold, bodies, defaultDeadlineMs, secret, createId } = this.context;
        if (!fold.isKnown) {
            return err(createRefused("noOfferings", "this gateway knows no offerings yet", noOfferingsRetrySeconds));
        }
        const offerings = fold.offerings;
        const account = readAccount(incoming.headers, offerings);
        if (account.isErr()) {
            return err(account.error);
        }
        const deadlineMs = readDeadlineMs(incoming.headers, defaultDeadlineMs);
        if (deadlineMs.isErr()) {
            return err(deadlineMs.error);
        }
        const body = await bodies.read(incoming, deadlineMs.value);
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
            account: account.value,
            offerings,
            arrivedAt,
            deadlineAt: arrivedAt + deadlineMs.value,
            isForwarded: isPeer,
        });
    }

    private async handleCompletion(
        request: CallerRequest,
        response: CallerResponse,
        path: CompletionPath,
    ): Promise<Verdict> {
        const completion = parseCompletion(request, path);
        if (completion.isErr()) {
            return response.sendFailure(createRefusal(request.headers, completion.error));
        }
        const hasToken = request.headers[requestTokenHeader] !== undefined;
        const run = (): Promise<Verdict> =>
            runCompletion(this.context.completions, request, completion.value, response, hasToken);
        return this.runRequest(request, response, hasToken, run);
    }

    private async handleCall(request: CallerRequest, response: CallerResponse): Promise<Verdict> {
        const call = parseCall(request);
        if (call.isErr()) {
            return response.sendFailure(createRefusal(request.headers, call.error));
        }
        const hasToken = request.headers[requestTokenHeader] !== undefined;
        if (!call.value.isIdempotent && !hasToken) {
            const detail =
                `this call must not run twice: ask POST /v1/request-tokens for a token and show it in ${requestTokenHeader}`;
            return response.sendFailure(createRefused("requestTokenRequired", detail));
        }
        const run = (): Promise<Verdict> => runCall(this.context.calls, request, call.value, response, hasToken);
        return this.runRequest(request, response, hasToken, run);
    }

    private async runRequest(
        request: CallerRequest,
        response: CallerResponse,
        hasToken: boolean,
        run: () => Promise<Verdict>,
    ): Promise<Verdict> {
        if (hasToken) {
            return this.context.tokens().runOnce(request, response, run);
        }
        const verdict = await run();
        response.finish(verdict);
        return verdict;
    }

    private async handleModels(request: CallerRequest, response: CallerResponse): Promise<Verdict> {
        const data = request.offerings.listModels(request.account).map(id => ({
            id,
            object: "model",
            owned_by: "radishreel",
        }));
        response.send(200, jsonMediaType, JSON.stringify({ object: "list", data }) + "\n");
        return { kind: "complete" };
    }

    private async handleTokens(request: CallerRequest, response: CallerResponse): Promise<Verdict> {
        const count = parseTokenCount(request.body);
        if (count.isErr()) {
            return response.sendFailure(count.error);
        }
        const { tokens, expiresAt } = this.context.tokens().createTokens(request.account.name, count.value);
        response.send(
            200,
            jsonMediaType,
            JSON.stringify({ tokens, expiresAt: new Date(expiresAt).toISOString() }) + "\n",
        );
        return { kind: "complete" };
    }
}

/**
 * Creates the verdict of a refusal made before the request token was checked. With a token, an earlier attempt may have
 * run without this gateway's knowledge: only the ledger of the token can report `not-run`.
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
        // Reported below, like any other malformed body.
    }
    return err(createRefused("malformedBody", `expected {"count": n} with n from 1 to ${maxTokensPerRequest}`));
}
