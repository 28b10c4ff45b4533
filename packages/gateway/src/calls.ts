import type { Service } from "@radishreel/offerings";
import type { Call, ServiceClient } from "@radishreel/upstreams";
import { createRefused, type RefusedVerdict, type Verdict } from "@radishreel/verdict";
import { err, ok, type Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import type { Placement } from "./dispatching.js";
import type { CallerRequest } from "./request.js";
import type { CallerResponse } from "./response.js";
import { type RunContext, UpstreamRun } from "./run.js";

/** Path prefix of plain services. */
export const servicesPrefix = "/v1/services/";

/** A validated call of a plain service. */
export interface ServiceCall {
    readonly service: string;
    /** Path and query sent to the service. */
    readonly path: string;
    readonly isIdempotent: boolean;
    readonly timeoutMs: number;
}

/** Parts of the gateway that {@link runCall} uses. */
export interface CallContext extends RunContext {
    readonly services: ServiceClient;
}

/** Response headers that are forwarded to callers; other headers concern the connection to the upstream. */
const forwardedResponseHeaders = ["content-type", "content-length", "etag", "location", "retry-after", "cache-control"];

/** Validates a call against the offerings, before the request is queued. */
export function parseCall(request: CallerRequest): Result<ServiceCall, RefusedVerdict> {
    const rest = request.path.slice(servicesPrefix.length);
    const end = rest.search(/[/?]|$/);
    const name = decodeURIComponent(rest.slice(0, end));
    const service = request.offerings.findService(name);
    if (service === undefined) {
        return err(createRefused("unknownService", `service "${name}" is not offered`));
    }
    if (!request.offerings.isServiceAllowed(request.account, name)) {
        return err(createRefused("notAllowed", `customer "${request.account.name}" may not call service "${name}"`));
    }
    const path = rest.slice(end).startsWith("/") ? rest.slice(end) : `/${rest.slice(end)}`;
    return ok({
        service: name,
        path,
        isIdempotent: isIdempotent(service, request.method, path),
        timeoutMs: service.timeoutMs,
    });
}

function isIdempotent(service: Service, method: string, path: string): boolean {
    const [pathOnly] = path.split("?");
    return !service.nonIdempotent.some(call =>
        call.method === method
        && (call.path.endsWith("*") ? pathOnly!.startsWith(call.path.slice(0, -1)) : call.path === pathOnly)
    );
}

/** Runs one call until its verdict. Response bytes are forwarded as they arrive; the caller finishes the response. */
export function runCall(
    context: CallContext,
    request: CallerRequest,
    call: ServiceCall,
    response: CallerResponse,
    continuesAfterDisconnect: boolean,
): Promise<Verdict> {
    return new CallRun(context, request, call, response, continuesAfterDisconnect).verdict;
}

/** One call with all its attempts. */
class CallRun extends UpstreamRun {
    constructor(
        private readonly callContext: CallContext,
        request: CallerRequest,
        private readonly call: ServiceCall,
        response: CallerResponse,
        continuesAfterDisconnect: boolean,
    ) {
        super({ context: callContext, request, response, continuesAfterDisconnect });
        this.arrive(call.service);
    }

    protected open(placement: Placement, callId: string): Call {
        const { callContext: context, request, call, response } = this;
        return context.services.open({
            address: context.findAddress(placement.engineId) ?? "",
            method: request.method,
            path: call.path,
            headers: createHeaders(request, callId),
            body: request.body.length === 0 ? undefined : request.body,
            silenceMs: call.timeoutMs,
            receiver: {
                receiveHead: (status, headers) => response.begin(status, readForwardedHeaders(headers)),
                receiveData: chunk => this.forwardChunk(chunk),
            },
        });
    }
}

function createHeaders(request: CallerRequest, callId: string): Record<string, string> {
    const headers: Record<string, string> = { "x-call-id": callId, "x-customer": request.account.name };
    for (const name of ["content-type", "accept"]) {
        const value = request.headers[name];
        if (typeof value === "string") {
            headers[name] = value;
        }
    }
    return headers;
}

/** Selects the response headers that may be forwarded from an upstream to a caller. */
export function readForwardedHeaders(headers: IncomingHttpHeaders): Record<string, string> {
    const forwarded: Record<string, string> = {};
    for (const name of forwardedResponseHeaders) {
        const value = headers[name];
        if (typeof value === "string") {
            forwarded[name] = value;
        }
    }
    return forwarded;
}
