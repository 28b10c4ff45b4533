import type { SoftwareClaims, StreamOrigin } from "@radishreel/fleet";
import type { Route } from "@radishreel/routing";
import type { DecisionLog } from "../decisions.js";
import type { CallerDemand, StreamHistory } from "../ports.js";
import type { RefusalResponse } from "../requests/refusal.js";
import { mergeClaims } from "./claims.js";
import type { StreamDirectory, StreamReplies } from "./directory.js";

/** `Retry-After` of a stream whose origin this VM does not know, in seconds: a peer or the store may be back. */
const unknownRetrySeconds = 0.5;

/** `Retry-After` of a stream that cannot go on, in seconds: its caller can begin another one at once. */
export const endedRetrySeconds = 0.05;

/** How the origin of a resumed stream was found. Each is a metric label. */
export type OriginSource =
    /** This VM had a record of the stream. */
    | "record"
    /** Another VM had a record of the stream. */
    | "peer"
    /** All VMs, or the store, know of one software version only. */
    | "onlyVersion"
    /** The store had a record of the stream. */
    | "store"
    /** The origin is not known. */
    | "unknown"
    /** Several streams have the same identifier. */
    | "ambiguous"
    /** The configuration no longer allows the service at which the stream began. */
    | "otherService";

/** Options of {@link StreamResolver}. */
export interface StreamResolverOptions {
    /** This VM. */
    readonly vm: string;
    readonly directory: Pick<StreamDirectory, "find" | "ask" | "addRecords">;
    /** Finds the claims that this VM knows; undefined until it has read them. */
    readonly findClaims: () => SoftwareClaims | undefined;
    /** Lists the names of all other VMs that may be running. */
    readonly listOtherVms: () => readonly string[];
    /** Reads the store; undefined if the store does not respond, or may lack what it confirmed. */
    readonly readHistory: () => Promise<StreamHistory | undefined>;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    readonly onResolved: (source: OriginSource) => void;
}

/** The origin of a resumed stream, or why the stream cannot go on at this VM now. */
export type StreamResolution =
    | { readonly kind: "resolved"; readonly origin: StreamOrigin; }
    | { readonly kind: "refused"; readonly refusal: RefusalResponse; };

interface FoundOrigin {
    readonly source: OriginSource;
    readonly origin?: StreamOrigin | undefined;
}

/**
 * Finds where the stream began that a caller resumes. A stream whose origin is not certain is refused, since the events
 * of two software versions must not be joined.
 */
export class StreamResolver {
    constructor(private readonly options: StreamResolverOptions) {}

    async resolve(demand: CallerDemand, route: Route): Promise<StreamResolution> {
        const { log, readTime, onResolved } = this.options;
        const startedAt = readTime();
        const found = checkService(await this.findOrigin(demand.resumes, route), route);
        onResolved(found.source);
        log.recordImportant("streamResumed", {
            request: demand.requestId,
            resumes: demand.resumes,
            lastEventId: demand.lastEventId,
            source: found.source,
            service: found.origin?.service,
            software: found.origin?.softwareVersion,
            ms: Math.round(readTime() - startedAt),
        });
        return found.origin === undefined
            ? { kind: "refused", refusal: createRefusal(found.source) }
            : { kind: "resolved", origin: found.origin };
    }

    private async findOrigin(stream: string | undefined, route: Route): Promise<FoundOrigin> {
        const { directory } = this.options;
        const known = stream === undefined ? undefined : directory.find(stream);
        if (known !== undefined) {
            return { source: known.origin === undefined ? "ambiguous" : "record", origin: known.origin };
        }
        const replies = await directory.ask(stream);
        const { record } = replies;
        if (record !== undefined) {
            return { source: record.origin === undefined ? "ambiguous" : "peer", origin: record.origin };
        }
        const origin = this.findOnlyOrigin(replies, route);
        return origin === undefined ? this.findStoredOrigin(stream, route) : { source: "onlyVersion", origin };
    }

    /** Finds the origin of all streams of a route, if all VMs know of one only. */
    private findOnlyOrigin({ claims, knownVms }: StreamReplies, route: Route): StreamOrigin | undefined {
        const { vm, findClaims, listOtherVms } = this.options;
        const own = findClaims();
        // A stream may have begun at a new VM that is linked to others and not yet to this one.
        const others = [...listOtherVms(), ...knownVms].filter(other => other !== vm);
        if (own === undefined || others.some(other => !claims.has(other))) {
            return undefined;
        }
        return findOnlyClaim([own, ...claims.values()], route);
    }

    private async findStoredOrigin(stream: string | undefined, route: Route): Promise<FoundOrigin> {
        const { directory, findClaims, readHistory } = this.options;
        const history = await readHistory();
        if (history === undefined) {
            return { source: "unknown" };
        }
        directory.addRecords(history.records);
        const record = stream === undefined ? undefined : directory.find(stream);
        if (record !== undefined) {
            return { source: record.origin === undefined ? "ambiguous" : "store", origin: record.origin };
        }
        const origin = findOnlyClaim([findClaims() ?? {}, ...history.claims], route);
        return { source: origin === undefined ? "unknown" : "onlyVersion", origin };
    }
}

/** Finds the origin that all streams of a route have; undefined if there are several services or versions. */
function findOnlyClaim(claims: readonly SoftwareClaims[], { targets }: Route): StreamOrigin | undefined {
    const [target, ...otherTargets] = targets;
    const [softwareVersion, ...otherVersions] = mergeClaims(claims).get(target?.service ?? "") ?? [];
    return target === undefined || softwareVersion === undefined || otherTargets.length + otherVersions.length > 0
        ? undefined
        : { service: target.service, softwareVersion };
}

/** Drops an origin whose service the route does not allow. */
function checkService(found: FoundOrigin, { targets }: Route): FoundOrigin {
    const { origin } = found;
    const isAllowed = origin === undefined || targets.some(({ service }) => service === origin.service);
    return isAllowed ? found : { source: "otherService" };
}

function createRefusal(source: OriginSource): RefusalResponse {
    return source === "unknown"
        ? { status: 503, reason: "streamUnknown", retryAfterSeconds: unknownRetrySeconds }
        : { status: 503, reason: "streamEnded", retryAfterSeconds: endedRetrySeconds };
}
