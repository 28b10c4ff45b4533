import type { Service } from "@radishreel/routing";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseServer, FleetView, UpstreamHealth } from "../src/index.js";
import { createUpstream } from "./simulatedengine.js";
import { Agenda } from "./speedworld.js";
import { createRandom } from "./workload.js";

const service: Service = { name: "plain", maxConnections: 100 };
const workMs = 40;
const expectedMs = 50;

/** Times without an answer after which a call is ended, in milliseconds. */
const firstByteMs = 700;

/** When the fault of the first of three servers begins, in milliseconds. */
const faultAt = 5000;

/** Finds when the first server answers a call that it receives at some time; infinite if it never does. */
type Fault = (now: number) => number;

/** Runs 100 calls a second on three servers. Counts the calls to the first one by half seconds since the fault. */
function countSends(
    fault: Fault,
    { isCutting, lengthMs = 6000 }: { isCutting: boolean; lengthMs?: number; },
): number[] {
    const random = createRandom(7);
    const agenda = new Agenda();
    const view = new FleetView();
    for (const id of ["s0", "s1", "s2"]) {
        view.updateUpstream({ ...createUpstream(id), service: service.name, slots: 6 }, 0);
    }
    const sends = Array.from({ length: lengthMs / 500 }, () => 0);
    for (let now = 0; now < faultAt + lengthMs; now += -Math.log(1 - random()) * 10) {
        agenda.advance(now);
        const sentAt = now;
        const { state } = chooseServer({ view, service, dataCentre: "z", now, penalties: new Map() })!;
        const { id } = state.upstream;
        if (id === "s0" && now >= faultAt) {
            sends[Math.floor((now - faultAt) / 500)]! += 1;
        }
        const own = view.addOwnLoad({ upstream: id, backlogTokens: 0, kvTokens: 0, hasLongAnswer: false }, now);
        const end = id === "s0" ? fault(now) : now + workMs;
        const isCut = isCutting && end > now + firstByteMs;
        agenda.add(isCut ? now + firstByteMs : end, at => {
            own.finish();
            if (isCut) {
                state.health.recordSilence(at, sentAt);
                return;
            }
            state.health.recordResponse(at, (at - sentAt) / expectedMs, sentAt);
        });
    }
    return sends;
}

/** Silent for a second; calls that it has received by then are answered afterwards. */
function createSilence(ms: number): Fault {
    return now => now + workMs < faultAt || now >= faultAt + ms ? now + workMs : faultAt + ms + workMs;
}

/** Ends eight requests that were sent up to 100 ms before a silence at time 1000, 600 ms after it began. */
function recordSilences(health: UpstreamHealth): void {
    health.recordResponse(990, 1, 950);
    for (let index = 0; index < 8; index += 1) {
        health.recordSilence(1600 + index, 900 + index * 12);
    }
}

/** Cost of an upstream's failures, as a share of requests that fail. */
function readShareAfterAnswer(health: UpstreamHealth): number {
    health.recordSlowdown(1, 2000, 2040);
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
        health.recordResponse(now, 1, now - 50);
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

function countAll(counts: readonly number[]): number {
    return counts.reduce((total, count) => total + count, 0);
}

for (const isCutting of [false, true]) {
    const name = isCutting ? "are ended" : "wait";
    test(`an upstream gets calls again soon after a silence in which its calls ${name}`, () => {
        const sends = countSends(createSilence(1000), { isCutting });
        // About 16 of the 50 calls in half a second are its share; the silence ends after the second half second.
        assert.ok(countAll(sends.slice(3, 6)) >= 24, sends.join(" "));
    });
}

test("an upstream that has become slow gets hardly any calls after the first half second", () => {
    for (const factor of [4, 8]) {
        const sends = countSends(now => now + workMs * (now < faultAt ? 1 : factor), { isCutting: false });
        assert.ok(countAll(sends) <= 18, sends.join(" "));
        assert.ok(countAll(sends.slice(2, 6)) <= 6, sends.join(" "));
    }
});

test("an upstream that never answers again gets hardly any calls after the first half second", () => {
    const hang: Fault = now => now + workMs < faultAt ? now + workMs : Infinity;
    const sends = countSends(hang, { isCutting: true });
    assert.ok(countAll(sends) <= 20, sends.join(" "));
    assert.ok(countAll(sends.slice(2)) <= 10, sends.join(" "));
});

test.run();
