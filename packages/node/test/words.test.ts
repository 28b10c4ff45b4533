/** What answers say of upstreams, over random histories: stores that are away, old entries, rebirths, answers of each kind. */
import { chooseServer, FleetView } from "@radishreel/fleet";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ClusterState } from "../src/knowledge/cluster.js";
import { DepartureSharing } from "../src/knowledge/departures.js";
import type { PeerMessage } from "../src/links/messages.js";
import type { AnswerHead } from "../src/ports.js";
import { readWords } from "../src/requests/words.js";
import { createSilentLog, createUpstream } from "./fixtures.js";

/** Names that upstreams register under; each may start again. */
const names = ["s1", "s2"];

const service = { name: "desk", maxConnections: 10 };

/** Answers, by how they name their request and their upstream, and whether they are that upstream's own word. */
const answers: Record<string, { head: (name: string) => Partial<AnswerHead>; isOwn: boolean; }> = {
    plain: { head: () => ({ requestId: "q" }), isOwn: true },
    unnamed: { head: () => ({}), isOwn: true },
    refused: { head: () => ({ isNotRun: true }), isOwn: true },
    outdated: { head: name => ({ isMisdirected: true, answeredBy: name }), isOwn: true },
    misdirected: { head: () => ({ isMisdirected: true }), isOwn: false },
    ofAnother: { head: () => ({ isMisdirected: true, answeredBy: "other" }), isOwn: false },
    late: { head: () => ({ requestId: "r" }), isOwn: false },
};

const vmArbitrary = fc.nat(1);
const nameArbitrary = fc.constantFrom(...names);
const lifeArbitrary = fc.integer({ min: 1, max: 3 });

/** What may happen; `age` is by how many records an entry is older than the newest one. */
const stepArbitrary = fc.oneof(
    fc.record({
        kind: fc.constant("entry" as const),
        vm: vmArbitrary,
        name: nameArbitrary,
        life: lifeArbitrary,
        isLeaving: fc.boolean(),
        age: fc.nat(3),
    }),
    fc.record({ kind: fc.constant("removal" as const), vm: vmArbitrary, name: nameArbitrary }),
    fc.record({ kind: fc.constant("store" as const), vm: vmArbitrary, isReachable: fc.boolean() }),
    fc.record({ kind: fc.constant("time" as const), ms: fc.integer({ min: 1, max: 3000 }) }),
    fc.record({ kind: fc.constant("deliver" as const) }),
    fc.record({
        kind: fc.constant("answer" as const),
        vm: vmArbitrary,
        name: nameArbitrary,
        life: lifeArbitrary,
        form: fc.constantFrom(...Object.keys(answers)),
        isLeaving: fc.boolean(),
        askedRestMs: fc.option(fc.integer({ min: 1, max: 5000 }), { nil: undefined }),
    }),
);

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

function formatLife(name: string, life: number): string {
    return `${name}@${life}`;
}

/** Two VMs, what they were truly told, and the messages between them. */
class World {
    now = 60_000;
    private position = 0;
    private readonly underWay: { readonly to: number; readonly message: PeerMessage; }[] = [];
    private readonly vms = [0, 1].map(index => this.createVm(index));

    run(step: Step): void {
        switch (step.kind) {
            case "entry": {
                this.position += 1;
                const { name, life, isLeaving, age } = step;
                const id = formatLife(name, life);
                const upstream = createUpstream(id, { name, bornAt: life, service: "desk", isLeaving, models: [] });
                const position = Math.max(1, this.position - age);
                this.vms[step.vm]!.cluster.applyChanges([{ kind: "upstream", upstream, position }]);
                break;
            }
            case "removal":
                this.position += 1;
                this.vms[step.vm]!.cluster.applyChanges([
                    { kind: "upstreamGone", name: step.name, position: this.position },
                ]);
                break;
            case "store":
                this.vms[step.vm]!.cluster.setReachable(step.isReachable);
                break;
            case "time":
                this.now += step.ms;
                this.vms.forEach(({ cluster }) => cluster.expireLapsed());
                break;
            case "deliver":
                for (const { to, message } of this.underWay.splice(0)) {
                    assert.is(message.type, "upstreamsLeaving");
                    if (message.type === "upstreamsLeaving") {
                        this.vms[to]!.sharing.receive("other", message.upstreams);
                        message.upstreams.forEach(id => this.vms[to]!.leaving.add(id));
                    }
                }
                break;
            case "answer":
                this.receiveAnswer(step);
        }
        this.vms.forEach(vm => this.check(vm));
    }

    private receiveAnswer(step: Extract<Step, { kind: "answer"; }>): void {
        const { vm: index, name, life, form, isLeaving, askedRestMs } = step;
        const vm = this.vms[index]!;
        const id = formatLife(name, life);
        const { head, isOwn } = answers[form]!;
        const words = readWords({
            requestId: undefined,
            isNotRun: false,
            isMisdirected: false,
            isSigned: true,
            answeredBy: undefined,
            isLeaving,
            askedRestMs,
            ...head(name),
        }, { requestId: "q", upstreamName: name });
        if (words.askedRestMs !== undefined) {
            vm.view.rests.record(id, words.askedRestMs, this.now);
        }
        if (words.isLeaving) {
            vm.sharing.recordAnswer(id);
        }
        if (isOwn && isLeaving) {
            vm.leaving.add(id);
        }
        if (isOwn && askedRestMs !== undefined) {
            vm.restEnds.set(id, Math.max(vm.restEnds.get(id) ?? 0, this.now + askedRestMs));
        }
    }

    private check({ view, leaving, restEnds, told }: ReturnType<World["createVm"]>): void {
        const { now } = this;
        const chosen = chooseServer({ view, service, dataCentre: "z", now, penalties: new Map() });
        const awake = new Set(view.listAwake("desk", now).map(({ upstream }) => upstream.id));
        assert.is(chosen !== undefined, awake.size > 0);
        for (const { upstream } of view.listUpstreams()) {
            const { id } = upstream;
            const mayServe = !upstream.isLeaving && !leaving.has(id);
            assert.is(view.isUsable(id), mayServe);
            assert.is(awake.has(id), mayServe && (restEnds.get(id) ?? 0) <= now);
        }
        assert.is(new Set(told).size, told.length);
    }

    private createVm(index: number) {
        const view = new FleetView();
        const told: string[] = [];
        const log = createSilentLog(() => this.now);
        const cluster = new ClusterState({
            view,
            log,
            readTime: () => this.now,
            onChange: () => {},
            onUpstreamGone: () => {},
            onMember: () => {},
        });
        cluster.setReachable(true);
        const sharing = new DepartureSharing({
            view,
            log,
            readTime: () => this.now,
            broadcast: message => {
                this.underWay.push({ to: 1 - index, message });
                told.push(JSON.stringify(message));
            },
            onChange: () => {},
        });
        /** Who leaves by its own word, as this VM was told by answers or by the other VM; who rests, and until when. */
        return { view, cluster, sharing, told, leaving: new Set<string>(), restEnds: new Map<string, number>() };
    }
}

test("over random histories nothing goes to an upstream that leaves or rests by its own word, and to others all may go", () => {
    fc.assert(
        fc.property(fc.array(stepArbitrary, { minLength: 1, maxLength: 40 }), steps => {
            const world = new World();
            steps.forEach(step => world.run(step));
        }),
        { seed: 38, numRuns: 2000 },
    );
});

test.run();
