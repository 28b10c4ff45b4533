import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { formatToken, type LedgerRecord, maxClockSkewMs, parseToken, TokenIssuer, TokenLedger } from "../src/index.js";

const secret = "a secret of sixteen characters";
const token = { issuer: "gateway#1", address: "127.0.0.1:1", sequence: 7, account: "depot", expiresAt: 1000 };
const answer = { status: 200, contentType: "application/json", body: new Uint8Array([1, 2, 3]) };

test("a token parses to the values that it was issued with", () => {
    assert.equal(parseToken(secret, formatToken(secret, token))._unsafeUnwrap(), token);
});

test("a token with any character changed, or of another deployment, is refused", () => {
    const text = formatToken(secret, token);
    for (let index = 0; index < text.length; index++) {
        const changed = text.slice(0, index) + (text[index] === "A" ? "B" : "A") + text.slice(index + 1);
        const parsed = parseToken(secret, changed);
        // The last base64 digit may carry bits that are not decoded.
        if (parsed.isOk()) {
            assert.equal(parsed.value, token);
            assert.is(index, text.length - 1);
        }
        else {
            assert.is(parsed.error.reason, "malformedRequestToken");
        }
    }
    assert.ok(parseToken("another secret of a deployment", text).isErr());
    fc.assert(fc.property(fc.string(), noise => assert.ok(parseToken(secret, noise).isErr())), { seed: 1 });
});

test("an issuer never issues the same token twice", () => {
    const issuer = new TokenIssuer({ secret, issuer: "gateway#1", address: "127.0.0.1:1" });
    const tokens = [...issuer.createTokens("a", 100, 0).tokens, ...issuer.createTokens("b", 100, 0).tokens];
    assert.is(new Set(tokens).size, 200);
});

test("a claim is granted once, and again only after it was released as not run", () => {
    const ledger = new TokenLedger({ issuer: "gateway#1" });
    assert.is(ledger.claim(1, "d", 1000, 0).kind, "granted");
    assert.is(ledger.claim(1, "d", 1000, 0).kind, "inUse");
    ledger.release(1);
    assert.is(ledger.claim(1, "d", 1000, 0).kind, "granted");
    ledger.recordOutcome(1, { kind: "complete", answer });
    assert.equal(ledger.claim(1, "d", 1000, 0), { kind: "spent", outcome: { kind: "complete", answer } });
    assert.is(ledger.claim(1, "other", 1000, 0).kind, "mismatch");
});

test("a claimed token stays spent until its expiry plus the maximum clock skew", () => {
    const ledger = new TokenLedger({ issuer: "gateway#1" });
    ledger.claim(1, "d", 1000, 0);
    ledger.recordOutcome(1, { kind: "complete", answer });
    ledger.expire(1000 + maxClockSkewMs - 1);
    assert.is(ledger.claim(1, "d", 1000, 0).kind, "spent");
    ledger.expire(1000 + maxClockSkewMs);
    assert.is(ledger.claim(1, "d", 1000, 1000).kind, "expired");
});

test("responses that exceed the size limits are discarded, and their tokens stay spent", () => {
    const ledger = new TokenLedger({ issuer: "gateway#1", maxResponseBytes: 3, maxStoredBytes: 5 });
    for (const sequence of [1, 2, 3]) {
        ledger.claim(sequence, "d", 1000, 0);
        const body = new Uint8Array(sequence === 3 ? 4 : 3);
        ledger.recordOutcome(sequence, { kind: "complete", answer: { ...answer, body } });
    }
    const hasResponse = [1, 2, 3].map(sequence => {
        const claim = ledger.claim(sequence, "d", 1000, 0);
        return claim.kind === "spent" && claim.outcome.kind === "complete" && claim.outcome.answer !== undefined;
    });
    assert.equal(hasResponse, [false, true, false]);
});

test("after a handover the old ledger grants no claim, and the handover target grants unused tokens only", () => {
    const oldLedger = new TokenLedger({ issuer: "gateway#1" });
    oldLedger.claim(1, "d", 1000, 0);
    oldLedger.recordOutcome(1, { kind: "complete", answer });
    oldLedger.claim(2, "d", 1000, 0);
    const record: LedgerRecord = oldLedger.seal(5000);
    assert.is(oldLedger.claim(3, "d", 1000, 0).kind, "expired");
    const targetLedger = new TokenLedger({ issuer: "gateway#1" });
    targetLedger.adopt(record);
    assert.is(targetLedger.claim(1, "d", 1000, 0).kind, "spent");
    // A request that was running when its gateway stopped may have run.
    const claim = targetLedger.claim(2, "d", 1000, 0);
    assert.ok(claim.kind === "spent" && claim.outcome.kind === "mayHaveRun");
    assert.is(targetLedger.claim(3, "d", 1000, 0).kind, "granted");
});

// The rejected alternative, which runs a request twice.

interface MembershipView {
    readonly liveGateways: readonly string[];
}

/** The gateway responsible for a caller's own key, by hashing over the gateways that `view` lists as live. */
function findResponsibleGateway(key: number, view: MembershipView): string {
    return view.liveGateways[key % view.liveGateways.length]!;
}

test("choosing the responsible gateway by hashing runs a request twice when views of the live gateways differ", () => {
    const memory = new Map<string, Set<number>>();
    let runs = 0;
    const sendRequest = (key: number, view: MembershipView): void => {
        const gateway = findResponsibleGateway(key, view);
        const seen = memory.get(gateway) ?? new Set();
        memory.set(gateway, seen);
        if (!seen.has(key)) {
            seen.add(key);
            runs++;
        }
    };
    sendRequest(1, { liveGateways: ["g1", "g2", "g3"] });
    // Retried through a gateway that has no link to g2.
    sendRequest(1, { liveGateways: ["g1", "g3"] });
    assert.is(runs, 2);
});

test("a request with a token runs at most once over random retries, kills, restarts and link failures", () => {
    const gateways = ["g0", "g1", "g2"];
    const step = fc.record({
        via: fc.nat(2),
        token: fc.nat(3),
        event: fc.constantFrom("ask", "ask", "ask", "kill", "cut", "heal", "stop"),
        target: fc.nat(2),
    });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 60 }), steps => {
            // Incarnation by gateway index; a ledger is lost when its process is killed.
            const incarnations = gateways.map(() => 0);
            const ledgers = new Map(
                gateways.map((
                    _,
                    gatewayIndex,
                ) => [`${gatewayIndex}#0`, {
                    ledger: new TokenLedger({ issuer: `${gatewayIndex}#0` }),
                    at: gatewayIndex,
                }]),
            );
            const issued = gateways.map((_, gatewayIndex) => ({ issuer: `${gatewayIndex}#0`, sequence: 1 })).concat({
                issuer: "0#0",
                sequence: 2,
            });
            const cuts = new Set<string>();
            const runs = new Map<string, number>();
            const isCut = (one: number, two: number): boolean => one !== two && cuts.has([one, two].sort().join());
            for (const { via, token: tokenIndex, event, target } of steps) {
                if (event === "cut" && via !== target) {
                    cuts.add([via, target].sort().join());
                }
                else if (event === "heal") {
                    cuts.clear();
                }
                else if (event === "kill") {
                    [...ledgers].filter(([, entry]) => entry.at === target).forEach(([issuer]) =>
                        ledgers.delete(issuer)
                    );
                    incarnations[target]!++;
                }
                else if (event === "stop" && via !== target && !isCut(via, target)) {
                    for (const [issuer, entry] of [...ledgers].filter(([, each]) => each.at === target)) {
                        const targetLedger = new TokenLedger({ issuer });
                        targetLedger.adopt(entry.ledger.seal(Infinity));
                        ledgers.set(issuer, { ledger: targetLedger, at: via });
                    }
                }
                else if (event === "ask") {
                    const { issuer, sequence } = issued[tokenIndex]!;
                    const entry = ledgers.get(issuer);
                    if (
                        entry !== undefined && !isCut(via, entry.at)
                        && entry.ledger.claim(sequence, "d", Infinity, 0).kind === "granted"
                    ) {
                        const name = `${issuer}/${sequence}`;
                        runs.set(name, (runs.get(name) ?? 0) + 1);
                        entry.ledger.recordOutcome(sequence, { kind: "complete", answer: undefined });
                    }
                }
            }
            assert.ok([...runs.values()].every(count => count === 1));
        }),
        { seed: 23, numRuns: 1000 },
    );
});

test.run();
