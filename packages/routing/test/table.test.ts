import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseTarget, isIdempotent, type Route, RouteTable } from "../src/index.js";

function createRoute(route: Partial<Route>): Route {
    return {
        name: "r",
        host: "a.example",
        pathPrefix: "/",
        kind: "safe",
        targets: [{ service: "s", weight: 1 }],
        timeoutMs: 1000,
        aimMs: 100,
        priority: 0,
        maxAttempts: 1,
        isResumable: false,
        ...route,
    };
}

function createTable(routes: Route[]): RouteTable {
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    return new RouteTable({ version: 1, routes, services: [{ name: "s", maxConnections: 1 }], limits });
}

test("a path matches the route with the longest prefix, in any order of the routes", () => {
    const table = createTable([
        createRoute({ name: "short", pathPrefix: "/a/" }),
        createRoute({ name: "long", pathPrefix: "/a/b/" }),
        createRoute({ name: "all", pathPrefix: "/" }),
    ]);
    assert.is(table.findRoute("a.example", "/a/b/c")?.name, "long");
    assert.is(table.findRoute("a.example", "/a/c")?.name, "short");
    assert.is(table.findRoute("a.example", "/a")?.name, "all");
    assert.is(table.findRoute("a.example", "/x?y=/a/b/")?.name, "all");
});

test("a host matches regardless of case and port, and another host does not match", () => {
    const table = createTable([createRoute({ name: "only" })]);
    assert.is(table.findRoute("A.Example:8080", "/x")?.name, "only");
    assert.is(table.findRoute("b.example", "/x"), undefined);
});

test("a traffic split gives each target its share, and a target of weight 0 nothing", () => {
    const route = createRoute({
        targets: [{ service: "a", weight: 0 }, { service: "b", weight: 9 }, { service: "c", weight: 1 }],
    });
    assert.is(chooseTarget(route, 0), "b");
    assert.is(chooseTarget(route, 0.89), "b");
    assert.is(chooseTarget(route, 0.91), "c");
});

test("only safe requests and streams that may be resumed are idempotent", () => {
    assert.is(isIdempotent(createRoute({ kind: "safe" })), true);
    assert.is(isIdempotent(createRoute({ kind: "unsafe", isResumable: true })), false);
    assert.is(isIdempotent(createRoute({ kind: "stream" })), false);
    assert.is(isIdempotent(createRoute({ kind: "stream", isResumable: true })), true);
});

test.run();
