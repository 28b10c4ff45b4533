import { FleetView, type HeldModel, type ModelDemand, RetryBudget, type Upstream } from "@radishreel/fleet";
import type { Routing } from "@radishreel/routing";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { ClusterState } from "../src/knowledge/cluster.js";
import type { CallerKey, ClusterChange, RequestDialect } from "../src/ports.js";
import { Admissions } from "../src/requests/admissions.js";
import { CallerExchange } from "../src/requests/caller.js";
import { ConnectionPool, type UpstreamConnection } from "../src/requests/connections.js";
import { Serving } from "../src/requests/serving.js";
import { createAccountGuard, createGuard, createSilentLog, createUpstream } from "./fixtures.js";

const readSteady = () => performance.now();

/** A server that counts what reaches it. */
async function startServer(
    onRequest: (account: string | undefined) => void,
    hasAnswer: boolean,
): Promise<{ server: Server; address: string; }> {
    const server = createServer((request, response) => {
        onRequest(request.headers[accountHeader]?.toString());
        if (hasAnswer) {
            response.end("whole");
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

/** A pool that lets something happen while the first connection is opened. */
class EventfulPool extends ConnectionPool {
    private hasHappened = false;

    constructor(private readonly onFirst: (upstreamId: string) => void) {
        super();
    }

    override claim(upstreamId: string, address: string, isFresh: boolean, now: number): UpstreamConnection {
        const connection = super.claim(upstreamId, address, isFresh, now);
        if (!this.hasHappened) {
            this.hasHappened = true;
            this.onFirst(upstreamId);
        }
        return connection;
    }
}

/** Where servers are told whose request it is. */
const accountHeader = "x-account";

/** The key of the caller. */
const callerKey: CallerKey = { kind: "key", key: "k" };

/** A dialect that knows one request of one caller. */
export const plainDialect: RequestDialect = {
    parseDemand: () => ({
        requestId: "q",
        key: callerKey,
        budgetMs: undefined,
        model: undefined,
        lastEventId: undefined,
    }),
    createHeaders: (_headers, { identity }) => identity?.account === undefined ? [] : [accountHeader, identity.account],
    parseAnswer: () => ({
        requestId: "q",
        isNotRun: false,
        isMisdirected: false,
        isSigned: true,
        answeredBy: undefined,
        isLeaving: false,
        askedRestMs: undefined,
    }),
    listAnswerHeaders: () => [],
};

/** One route, which may not be repeated, to two servers. */
export const plainRouting: Routing = {
    version: 1,
    routes: [{
        name: "r",
        host: "127.0.0.1",
        pathPrefix: "/",
        kind: "unsafe",
        targets: [{ service: "desk", weight: 1 }],
        timeoutMs: 6000,
        aimMs: 1500,
        priority: 0,
        maxAttempts: 1,
        isResumable: false,
    }],
    services: [{ name: "desk", maxConnections: 10 }],
    limits: { maxHeaderBytes: 1000, maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 },
};

/** What a caller got, and what reached the servers. */
interface Served {
    readonly status: number;
    readonly text: string;
    /** Servers that a request reached. */
    readonly reached: string[];
    /** The accounts that they were told. */
    readonly accounts: (string | undefined)[];
    /** The server to which a connection was opened first. */
    readonly first: string | undefined;
}

/** Options of {@link serveWhileChanging}. */
interface ChangeOptions {
    /** @default one without accounts */
    readonly routing?: Routing;
    /** What the request asks for of a model. @default it is a plain request */
    readonly model?: ModelDemand;
    /** What the servers hold. @default nothing */
    readonly models?: readonly (readonly HeldModel[])[];
    /** What the VM learns while it opens the first connection. */
    readonly createChange?: (upstream: Upstream) => ClusterChange;
    /** What else happens meanwhile. @default nothing */
    readonly onOpening?: (view: FleetView, upstream: string) => void;
    /** How long the VM is suspended then, in milliseconds. @default 0 */
    readonly suspendedMs?: number;
    /** What it learns when a request has come to a server; none answers then. */
    readonly createLateChange?: () => ClusterChange;
}

/** Serves one request, and lets the VM learn something while it opens its first connection to a server. */
export async function serveWhileChanging(options: ChangeOptions): Promise<Served> {
    const { routing = plainRouting, model, models = [[], []], createChange, createLateChange } = options;
    const { onOpening = () => {} } = options;
    const view = new FleetView();
    const log = createSilentLog(readSteady);
    let aheadMs = 0;
    let receiveVersion = (): void => {};
    let bootAheadMs = 0;
    const readBoot = (): number => readSteady() + bootAheadMs;
    const cluster = new ClusterState({
        view,
        log,
        readTime: () => readSteady() + aheadMs,
        readBoot,
        onChange: () => {},
        onVersion: () => receiveVersion(),
        onUpstreamGone: () => {},
        onMember: () => {},
    });
    const reached: string[] = [];
    const accounts: (string | undefined)[] = [];
    const receive = (id: string, account: string | undefined): void => {
        reached.push(id);
        accounts.push(account);
        if (createLateChange !== undefined) {
            cluster.applyChanges([createLateChange()]);
        }
    };
    const hasAnswer = createLateChange === undefined;
    const servers = await Promise.all(
        ["s1", "s2"].map(id => startServer(account => receive(id, account), hasAnswer)),
    );
    const upstreams = ["s1", "s2"].map((id, index) =>
        createUpstream(id, { service: "desk", address: servers[index]!.address, models: [...models[index]!] })
    );
    cluster.applyChanges([
        { kind: "routing", routing, position: 1 },
        ...upstreams.map((upstream, index): ClusterChange => ({ kind: "upstream", upstream, position: index })),
    ]);
    cluster.setReachable(true);
    // Long past any outage, so that a removal counts at once.
    aheadMs = 10_000;
    let first: string | undefined;
    const pool = new EventfulPool(id => {
        first = id;
        const upstream = upstreams.find(candidate => candidate.id === id)!;
        cluster.applyChanges(createChange === undefined ? [] : [createChange(upstream)]);
        onOpening(view, id);
        bootAheadMs += options.suspendedMs ?? 0;
    });
    const serving = new Serving({
        dataCentre: "z",
        view,
        cluster,
        budgets: () => new RetryBudget({ ratio: 0.2, slack: 100, windowMs: 10_000 }),
        countVms: () => 1,
        dialect: { ...plainDialect, parseDemand: headers => ({ ...plainDialect.parseDemand(headers), model }) },
        pool,
        log,
        readTime: readSteady,
        readBoot,
        admissions: new Admissions({ readTime: readSteady, send: () => true }),
        guard: createGuard({ view, readTime: readSteady }),
        accounts: createAccountGuard(cluster),
        isLinked: () => true,
        sendPreparation: () => {},
        sendMissing: () => {},
        onLeaving: () => {},
        onRest: () => {},
        onRefusal: () => {},
        onRetry: () => {},
        onChoice: () => {},
        onRedirect: () => {},
    });
    receiveVersion = () => serving.receiveVersion();
    const front = createServer((request, response) => {
        void serving.handle(new CallerExchange(request, response));
    });
    await new Promise<void>(resolve => front.listen(0, "127.0.0.1", resolve));
    const answer = await fetch(`http://127.0.0.1:${(front.address() as AddressInfo).port}/`, { method: "POST" });
    const text = await answer.text();
    pool.close();
    for (const { server } of [...servers, { server: front }]) {
        server.close();
        server.closeAllConnections();
    }
    return { status: answer.status, text, reached, accounts, first };
}
