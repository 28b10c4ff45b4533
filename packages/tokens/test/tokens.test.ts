import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { formatToken, type LedgerRecord, maxClockSkewMs, parseToken, TokenIssuer, TokenLedger } from "../src/index.js";

const secret = "a secret of sixteen characters";
const token = { issuer: "gateway#1", address: "127.0.0.1:1", sequence: 7, customer: "depot", expiresAt: 1000 };
const answer = { status: 200, contentType: "application/json", body: new Uint8Array([1, 2, 3]) };

test("a token says what it was issued with", () => {
    assert.equal(parseToken(secret, formatToken(secret, token))._unsafeUnwrap(), token);
});

test("a token changed at any place, or of another deployment, is refused as not run", () => {
    const text = formatToken(secret, token);
    for (let index = 0; index < text.length; index++) {
        const changed = text.slice(0, index) + (text[index] === "A" ? "B" : "A") + text.slice(index + 1);
        const parsed = parseToken(secret, changed);
        // The last digit of a base64 text may carry bits that decode to nothing.
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

test("an issuer never issues a token twice", () => {
    const issuer = new TokenIssuer({ secret, issuer: "gateway#1", address: "127.0.0.1:1" });
    const tokens = [...issuer.createTokens("a", 100, 0).tokens, ...issuer.createTokens("b", 100, 0).tokens];
    assert.is(new Set(tokens).size, 200);
});

test("a claim is granted once, and again only after it was proved not to have run", () => {
    const ledger = new TokenLedger({ issuer: "gateway#1" });
    assert.is(ledger.claim(1, "d", 1000, 0).kind, "granted");
    assert.is(ledger.claim(1, "d", 1000, 0).kind, "inUse");
    ledger.release(1);
    assert.is(ledger.claim(1, "d", 1000, 0).kind, "granted");
    ledger.recordOutcome(1, { kind: "complete", answer });
    assert.equal(ledger.claim(1, "d", 1000, 0), { kind: "spent", outcome: { kind: "complete", answer } });
    assert.is(ledger.claim(1, "other", 1000, 0).kind, "mismatch");
});

test("a token that was used is remembered for longer than clocks may differ", () => {
    const ledger = new TokenLedger({ issuer: "gateway#1" });
    ledger.claim(1, "d", 1000, 0);
    ledger.recordOutcome(1, { kind: "complete", answer });
    ledger.expire(1000 + maxClockSkewMs - 1);
    assert.is(ledger.claim(1, "d", 1000, 0).kind, "spent");
    ledger.expire(1000 + maxClockSkewMs);
    assert.is(ledger.claim(1, "d", 1000, 1000).kind, "expired");
});

test("answers too large, or too many, are let go, and the request still counts as run", () => {
    const ledger = new TokenLedger({ issuer: "gateway#1", maxAnswerBytes: 3, maxKeptBytes: 5 });
    for (const sequence of [1, 2, 3]) {
        ledger.claim(sequence, "d", 1000, 0);
        const body = new Uint8Array(sequence === 3 ? 4 : 3);
        ledger.recordOutcome(sequence, { kind: "complete", answer: { ...answer, body } });
    }
    const kept = [1, 2, 3].map(sequence => {
        const claim = ledger.claim(sequence, "d", 1000, 0);
        return claim.kind === "spent" && claim.outcome.kind === "complete" && claim.outcome.answer !== undefined;
    });
    assert.equal(kept, [false, true, false]);
});

test("after a handover the old ledger grants nothing, and the heir grants what was unused", () => {
    const old = new TokenLedger({ issuer: "gateway#1" });
    old.claim(1, "d", 1000, 0);
    old.recordOutcome(1, { kind: "complete", answer });
    old.claim(2, "d", 1000, 0);
    const record: LedgerRecord = old.seal(5000);
    assert.is(old.claim(3, "d", 1000, 0).kind, "expired");
    const heir = new TokenLedger({ issuer: "gateway#1" });
    heir.adopt(record);
    assert.is(heir.claim(1, "d", 1000, 0).kind, "spent");
    // What still ran when its gateway stopped may have run.
    const claim = heir.claim(2, "d", 1000, 0);
    assert.ok(claim.kind === "spent" && claim.outcome.kind === "mayHaveRun");
    assert.is(heir.claim(3, "d", 1000, 0).kind, "granted");
});

// The ways that were weighed and rejected: each shows its double run.

interface View {
    readonly alive: readonly string[];
}

/** A home for a caller's own key, by hashing over the gateways that a gateway believes to be alive. */
function findHome(key: number, view: View): string {
    return view.alive[key % view.alive.length]!;
}

test("a home by hashing runs a request twice where views of who is alive differ", () => {
    const memory = new Map<string, Set<number>>();
    let runs = 0;
    const ask = (key: number, view: View): void => {
        const home = findHome(key, view);
        const seen = memory.get(home) ?? new Set();
        memory.set(home, seen);
        if (!seen.has(key)) {
            seen.add(key);
            runs++;
        }
    };
    ask(1, { alive: ["g1", "g2", "g3"] });
    // Asked again through a gateway that is cut off from g2.
    ask(1, { alive: ["g1", "g3"] });
    assert.is(runs, 2);
});

test("request tokens run it once over random retries, kills, restarts and cuts", () => {
    const gateways = ["g0", "g1", "g2"];
    const step = fc.record({
        via: fc.nat(2),
        token: fc.nat(3),
        event: fc.constantFrom("ask", "ask", "ask", "kill", "cut", "heal", "stop"),
        target: fc.nat(2),
    });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 60 }), steps => {
            // Incarnation by place; a ledger lives and dies with its process.
            const incarnations = gateways.map(() => 0);
            const ledgers = new Map(
                gateways.map((
                    _,
                    place,
                ) => [`${place}#0`, { ledger: new TokenLedger({ issuer: `${place}#0` }), at: place }]),
            );
            const issued = gateways.map((_, place) => ({ issuer: `${place}#0`, sequence: 1 })).concat({
                issuer: "0#0",
                sequence: 2,
            });
            const cuts = new Set<string>();
            const runs = new Map<string, number>();
            const isCut = (one: number, two: number): boolean => one !== two && cuts.has([one, two].sort().join());
            for (const { via, token: pick, event, target } of steps) {
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
                        const heir = new TokenLedger({ issuer });
                        heir.adopt(entry.ledger.seal(Infinity));
                        ledgers.set(issuer, { ledger: heir, at: via });
                    }
                }
                else if (event === "ask") {
                    const { issuer, sequence } = issued[pick]!;
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
