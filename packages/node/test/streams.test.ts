import type { SoftwareClaims } from "@radishreel/fleet";
import type { Route } from "@radishreel/routing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { OwnEntry } from "../src/knowledge/ownentry.js";
import type { CallerDemand, ClusterStore, Member } from "../src/ports.js";
import { VersionClaims } from "../src/streams/claims.js";
import { StreamResolver } from "../src/streams/resolver.js";
import { createSilentLog, createUpstream } from "./fixtures.js";

/** Time for which a claim outlives the last upstream of its version, in milliseconds. */
const claimLifetimeMs = 600_000;

const route: Route = {
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: "stream",
    targets: [{ service: "s", weight: 1 }, { service: "t", weight: 1 }],
    timeoutMs: 1000,
    aimMs: 100,
    priority: 0,
    maxAttempts: 1,
    isResumable: true,
};

const demand: CallerDemand = {
    requestId: "q2",
    budgetMs: 1000,
    model: undefined,
    lastEventId: "2",
    resumes: "q1",
};

/** Creates a resolver that knows a record of the stream, and claims of one version of each service. */
function createResolver(service: string | undefined): StreamResolver {
    const claims = { s: ["v1"], t: ["v1"] };
    return new StreamResolver({
        vm: "vm",
        directory: {
            find: stream =>
                service === undefined
                    ? undefined
                    : { stream, origin: { service, softwareVersion: "v1" }, lifeMs: 1000 },
            ask: () => Promise.resolve({ record: undefined, claims: new Map(), knownVms: new Set() }),
            addRecords: () => {},
        },
        findClaims: () => claims,
        listOtherVms: () => [],
        readHistory: () => Promise.resolve({ claims: [claims], records: [] }),
        log: createSilentLog(() => 0),
        readTime: () => 0,
        onResolved: () => {},
    });
}

test("a stream goes on at the service where it began, and only while its route allows that service", async () => {
    const resolution = await createResolver("t").resolve(demand, route);
    assert.equal(resolution, { kind: "resolved", origin: { service: "t", softwareVersion: "v1" } });
    const refused = await createResolver("u").resolve(demand, route);
    assert.is(refused.kind === "refused" && refused.refusal.reason, "streamEnded");
});

test("a stream without a record is refused on a route with several services", async () => {
    const refused = await createResolver(undefined).resolve(demand, route);
    assert.is(refused.kind === "refused" && refused.refusal.reason, "streamUnknown");
});

test("a claim outlives the last upstream of its version by the longest life of a stream", () => {
    let now = 0;
    let upstreams = [createUpstream("e1", { service: "s" }), createUpstream("e2", { service: "s" })];
    upstreams[1]!.softwareVersion = "v2";
    const written: SoftwareClaims[] = [];
    const claims = new VersionClaims({
        readTime: () => now,
        listUpstreams: () => upstreams,
        hasStreams: service => service === "s",
        listMembers: () => [],
        appendClaims: (appended, onConfirmed) => {
            written.push(appended);
            onConfirmed();
        },
        onChange: () => {},
    });
    claims.update();
    assert.equal(written, []);
    claims.receiveMembersRead({ s: ["v0"] });
    assert.equal(written, [{ s: ["v1", "v2", "v0"] }]);
    upstreams = upstreams.slice(1);
    now = claimLifetimeMs;
    claims.update();
    assert.is(claims.mayBegin("s", "v1"), true);
    now += 1;
    claims.update();
    assert.equal(written.at(-1), { s: ["v2"] });
    assert.is(claims.mayBegin("s", "v1"), false);
});

test("a VM that stops before it has read its entry keeps the claims of its earlier process", () => {
    const written: Member[] = [];
    const store = { appendMember: (member: Member) => written.push(member) } as unknown as ClusterStore;
    const self = { id: "vm", address: "127.0.0.1:1" };
    const entry = new OwnEntry({ self, store });
    entry.append({ hasLeft: true });
    assert.equal(written, []);
    entry.receiveEntry({ ...self, softwareClaims: { s: ["v1"] } });
    entry.finishReading();
    entry.appendClaims(entry.previous!.softwareClaims!, () => {});
    assert.equal(written, [{ ...self, hasLeft: true, softwareClaims: { s: ["v1"] } }]);
});

test.run();
