import type { NamedAccount, OfferingsState } from "@radishreel/offerings";
import { createRefused, type RefusedVerdict } from "@radishreel/verdict";
import { err, ok, type Result } from "neverthrow";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Headers that callers may send. */
export const deadlineHeader = "x-deadline-ms";
export const requestTokenHeader = "x-request-token";

/** Maximum deadline, in milliseconds: one day. */
const maxDeadlineMs = 86_400_000;

/** A request of a caller, with its body read and its client account identified. */
export interface CallerRequest {
    readonly id: string;
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    readonly headers: IncomingMessage["headers"];
    readonly body: Buffer;
    readonly account: NamedAccount;
    readonly offerings: OfferingsState;
    /** Time of arrival on the monotonic clock, in milliseconds. */
    readonly arrivedAt: number;
    /** Deadline on the monotonic clock, in milliseconds. */
    readonly deadlineAt: number;
    /** Whether another gateway forwarded the request. */
    readonly isForwarded: boolean;
}

/** Finds the client account by the API key, given as a bearer token. */
export function readAccount(
    headers: IncomingMessage["headers"],
    offerings: OfferingsState,
): Result<NamedAccount, RefusedVerdict> {
    const [scheme, key] = (headers.authorization ?? "").split(" ");
    if (scheme?.toLowerCase() !== "bearer" || key === undefined || key === "") {
        return err(createRefused("unknownKey", "expected an API key in the header Authorization: Bearer"));
    }
    const account = offerings.findAccount(createHash("sha256").update(key).digest("hex"));
    return account === undefined ? err(createRefused("unknownKey", "no customer has this API key")) : ok(account);
}

/** Reads the deadline: the time within which the request must be sent to an upstream, in milliseconds from now. */
export function readDeadlineMs(
    headers: IncomingMessage["headers"],
    defaultMs: number | undefined,
): Result<number, RefusedVerdict> {
    const text = headers[deadlineHeader];
    if (text === undefined) {
        return defaultMs === undefined
            ? err(
                createRefused(
                    "malformedDeadline",
                    `expected a deadline in the header ${deadlineHeader}, in milliseconds`,
                ),
            )
            : ok(defaultMs);
    }
    const deadlineMs = Number(text);
    if (!Number.isInteger(deadlineMs) || deadlineMs <= 0 || deadlineMs > maxDeadlineMs) {
        const detail = `${deadlineHeader} is "${String(text)}"; expected whole milliseconds from 1 to ${maxDeadlineMs}`;
        return err(createRefused("malformedDeadline", detail));
    }
    return ok(deadlineMs);
}
