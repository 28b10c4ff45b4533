import type { Service } from "@radishreel/routing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseServer, FleetView, UpstreamHealth } from "../src/index.js";
import { createUpstream } from "./simulatedengine.js";

const service: Service = { name: "plain", maxConnections: 100 };

/** Ends eight requests that were sent up to 100 ms before a silence at time 1000, 600 ms after it began. */
function recordSilences(health: UpstreamHealth): void {
    health.recordResponse(990, 1);
    for (let index = 0; index < 8; index += 1) {
        health.recordSilence(1600 + index, 900 + index * 12);
    }
}

/** Cost of an upstream's failures, as a share of requests that fail. */
function readShareAfterAnswer(health: UpstreamHealth): number {
    health.recordSlowdown(1, 2040);
    return health.readFailureShare(2040);
}

test("requests that one silence ended together do not count as several failures", () => {
    const health = new UpstreamHealth();
    recordSilences(health);
    assert.ok(health.readFailureShare(1610) > 0.2, "the silence counts");
    assert.ok(health.readFailureShare(1610) < 0.4, `share of failures: ${health.readFailureShare(1610)}`);
});

test("a silence no longer counts as a failure once the upstream answers again", () => {
    const health = new UpstreamHealth();
    recordSilences(health);
    assert.is(readShareAfterAnswer(health), 0);
});

test("an upstream that answers other requests meanwhile has failed those that it leaves without an answer", () => {
    const health = new UpstreamHealth();
    for (let now = 0; now < 2000; now += 100) {
        health.recordResponse(now, 1);
        health.recordSilence(now + 50, now - 600);
    }
    assert.ok(health.readFailureShare(2000) > 0.4, `share of failures: ${health.readFailureShare(2000)}`);
});

test("an upstream that stays silent costs more with each round of requests that it leaves without an answer", () => {
    const health = new UpstreamHealth();
    const shares = [0, 1, 2].map(round => {
        for (let index = 0; index < 8; index += 1) {
            health.recordSilence(round * 700 + 700 + index, round * 701 + index);
        }
        return health.readFailureShare(round * 700 + 710);
    });
    assert.ok(shares[0]! > 0.3 && shares[1]! > shares[0]! && shares[2]! > shares[1]!, shares.join());
});

test("connections that fail together pause an upstream only once, and further ones for longer", () => {
    const view = new FleetView();
    for (const id of ["s1", "s2"]) {
        view.updateUpstream({ ...createUpstream(id), service: service.name, slots: 6 }, 0);
    }
    const { health } = view.findUpstream("s1")!;
    const isAvoided = (now: number): boolean => {
        const penalties = new Map([["s2", 1000]]);
        return chooseServer({ view, service, dataCentre: "z", now, penalties })!.state.upstream.id === "s2";
    };
    for (let index = 0; index < 8; index += 1) {
        health.recordUnreachable(400 + index, index);
    }
    assert.equal([410, 590, 610].map(isAvoided), [true, true, false]);
    health.recordUnreachable(1010, 610);
    assert.equal([1020, 1400, 1420].map(isAvoided), [true, true, false]);
});

test.run();
