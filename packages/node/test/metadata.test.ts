/** Checks response metadata over random histories: unreachable stores, old entries, restarts, any responses. */
import { chooseServer, FleetView } from "@radishreel/fleet";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AnnouncementSharing } from "../src/knowledge/announcements.js";
import { ClusterState } from "../src/knowledge/cluster.js";
import type { PeerMessage } from "../src/links/messages.js";
import type { ResponseHead } from "../src/ports.js";
import { readResponseMetadata } from "../src/requests/metadata.js";
import { createSilentLog, createUpstream } from "./fixtures.js";

/** Names that upstreams register under. Each upstream may restart under its name. */
const names = ["s1", "s2"];

const service = { name: "desk", maxConnections: 10 };

/** Responses by how they name request and upstream, and whether their metadata counts for the upstream. */
const responses: Record<string, { head: (name: string) => Partial<ResponseHead>; countsForUpstream: boolean; }> = {
    plain: { head: () => ({ requestId: "q" }), countsForUpstream: true },
    unnamed: { head: () => ({}), countsForUpstream: true },
    refused: { head: () => ({ isNotRun: true }), countsForUpstream: true },
    outdated: { head: name => ({ isMisdirected: true, sentBy: name }), countsForUpstream: true },
    misdirected: { head: () => ({ isMisdirected: true }), countsForUpstream: false },
    ofAnother: { head: () => ({ isMisdirected: true, sentBy: "other" }), countsForUpstream: false },
    late: { head: () => ({ requestId: "r" }), countsForUpstream: false },
};

const vmArbitrary = fc.nat(1);
const nameArbitrary = fc.constantFrom(...names);
const incarnationArbitrary = fc.integer({ min: 1, max: 3 });

/** Steps of a history; `age` is the number of records by which an entry is older than the newest one. */
const stepArbitrary = fc.oneof(
    fc.record({
        kind: fc.constant("entry" as const),
        vm: vmArbitrary,
        name: nameArbitrary,
        incarnation: incarnationArbitrary,
        isLeaving: fc.boolean(),
        age: fc.nat(3),
    }),
    fc.record({ kind: fc.constant("removal" as const), vm: vmArbitrary, name: nameArbitrary }),
    fc.record({ kind: fc.constant("store" as const), vm: vmArbitrary, isReachable: fc.boolean() }),
    fc.record({ kind: fc.constant("time" as const), ms: fc.integer({ min: 1, max: 3000 }) }),
    fc.record({ kind: fc.constant("deliver" as const) }),
    fc.record({
        kind: fc.constant("response" as const),
        vm: vmArbitrary,
        name: nameArbitrary,
        incarnation: incarnationArbitrary,
        form: fc.constantFrom(...Object.keys(responses)),
        isLeaving: fc.boolean(),
        askedRestMs: fc.option(fc.integer({ min: 1, max: 5000 }), { nil: undefined }),
    }),
);

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

function formatUpstreamId(name: string, incarnation: number): string {
    return `${name}@${incarnation}`;
}

/** Two VMs, the metadata that they received, and the messages between them. */
class World {
    now = 60_000;
    private position = 0;
    private readonly inTransit: { readonly to: number; readonly message: PeerMessage; }[] = [];
    private readonly vms = [0, 1].map(index => this.createVm(index));

    run(step: Step): void {
        switch (step.kind) {
            case "entry": {
                this.position += 1;
                const { name, incarnation, isLeaving, age } = step;
                const id = formatUpstreamId(name, incarnation);
                const upstream = createUpstream(id, {
                    name,
                    bornAt: incarnation,
                    service: "desk",
                    isLeaving,
                    models: [],
                });
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
                for (const { to, message } of this.inTransit.splice(0)) {
                    assert.is(message.type, "upstreamsLeaving");
                    if (message.type === "upstreamsLeaving") {
                        this.vms[to]!.sharing.receiveLeaving("other", message.upstreams);
                        message.upstreams.forEach(id => this.vms[to]!.leaving.add(id));
                    }
                }
                break;
            case "response":
                this.receiveResponse(step);
        }
        this.vms.forEach(vm => this.check(vm));
    }

    private receiveResponse(step: Extract<Step, { kind: "response"; }>): void {
        const { vm: index, name, incarnation, form, isLeaving, askedRestMs } = step;
        const vm = this.vms[index]!;
        const id = formatUpstreamId(name, incarnation);
        const { head, countsForUpstream } = responses[form]!;
        const metadata = readResponseMetadata({
            requestId: undefined,
            isNotRun: false,
            isMisdirected: false,
            isSigned: true,
            sentBy: undefined,
            isLeaving,
            askedRestMs,
            limit: { kind: "none" },
            ...head(name),
        }, { requestId: "q", upstreamName: name });
        vm.sharing.recordResponse(id, metadata, vm.view.limits.countStatements(id));
        if (countsForUpstream && isLeaving) {
            vm.leaving.add(id);
        }
        if (countsForUpstream && askedRestMs !== undefined) {
            vm.backoffEnds.set(id, Math.max(vm.backoffEnds.get(id) ?? 0, this.now + askedRestMs));
        }
    }

    private check({ view, leaving, backoffEnds, sentMessages }: ReturnType<World["createVm"]>): void {
        const { now } = this;
        const chosen = chooseServer({ view, service, dataCentre: "z", now, penalties: new Map() });
        const available = new Set(view.listAvailable("desk", now).map(({ upstream }) => upstream.id));
        assert.is(chosen !== undefined, available.size > 0);
        for (const { upstream } of view.listUpstreams()) {
            const { id } = upstream;
            if (upstream.isLeaving) {
                leaving.add(id);
            }
            const mayServe = !leaving.has(id);
            assert.is(view.isUsable(id), mayServe);
            assert.is(available.has(id), mayServe && (backoffEnds.get(id) ?? 0) <= now);
        }
        assert.is(new Set(sentMessages).size, sentMessages.length);
    }

    private createVm(index: number) {
        const view = new FleetView();
        const sentMessages: string[] = [];
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
        const sharing = new AnnouncementSharing({
            view,
            log,
            readTime: () => this.now,
            broadcast: message => {
                this.inTransit.push({ to: 1 - index, message });
                sentMessages.push(JSON.stringify(message));
            },
            isForwarding: () => true,
            onChange: () => {},
            onBackoff: () => {},
            onUnreadableLimit: () => {},
        });
        /**
         * `leaving`: upstreams that announced to this VM or the other one that they are leaving, or whose entry said so;
         * `backoffEnds`: ends of backoffs.
         */
        return {
            view,
            cluster,
            sharing,
            sentMessages,
            leaving: new Set<string>(),
            backoffEnds: new Map<string, number>(),
        };
    }
}

test("a limit counts only from a response that is signed or rejects the request", () => {
    const limit = { kind: "limited", perSecond: 1 } as const;
    const head = { requestId: "q", sentBy: undefined, isLeaving: false, askedRestMs: undefined, limit };
    const expected = { requestId: "q", upstreamName: "e1" };
    const read = (changes: object) =>
        readResponseMetadata(
            { ...head, isNotRun: false, isMisdirected: false, isSigned: false, ...changes },
            expected,
        ).limit;
    assert.equal(read({ isSigned: true }), limit);
    assert.equal(read({ isNotRun: true }), limit);
    assert.is(read({}), undefined);
    assert.is(read({ isSigned: true, requestId: "other" }), undefined);
    assert.is(read({ isNotRun: true, isMisdirected: true }), undefined);
    assert.equal(read({ isNotRun: true, isMisdirected: true, sentBy: "e1" }), limit);
});

test("over random histories exactly the upstreams that are not leaving or backing off may get requests", () => {
    fc.assert(
        fc.property(fc.array(stepArbitrary, { minLength: 1, maxLength: 40 }), steps => {
            const world = new World();
            steps.forEach(step => world.run(step));
        }),
        { seed: 38, numRuns: 2000 },
    );
});

test.run();
