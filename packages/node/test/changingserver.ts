import { FleetView, type HeldModel, type ModelDemand, RetryBudget, type Upstream } from "@radishreel/fleet";
import type { Routing } from "@radishreel/routing";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { ClusterState } from "../src/knowledge/cluster.js";
import type { CallerKey, ClusterChange, RequestDialect } from "../src/ports.js";
import { Admissions } from "../src/requests/admissions.js";
import { CallerExchange } from "../src/requests/caller.js";
import { ConnectionPool } from "../src/requests/connectionpool.js";
import type { UpstreamConnection } from "../src/requests/connections.js";
import { Serving } from "../src/requests/serving.js";
import { createAccountGuard, createCrashGuard, createLimiter, createSilentLog, createUpstream } from "./fixtures.js";

const readSteady = () => performance.now();

/** Starts a server that reports the account of each request that reaches it. */
async function startServer(
    onRequest: (account: string | undefined) => void,
    hasResponse: boolean,
): Promise<{ server: Server; address: string; }> {
    const server = createServer((request, response) => {
        onRequest(request.headers[accountHeader]?.toString());
        if (hasResponse) {
            response.end("whole");
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

/** A connection pool that calls a function while the first connection is opened. */
class CallbackPool extends ConnectionPool {
    private hasNotified = false;

    constructor(private readonly onFirst: (upstreamId: string) => void) {
        super();
    }

    override claim(upstreamId: string, address: string, isFresh: boolean, now: number): UpstreamConnection {
        const connection = super.claim(upstreamId, address, isFresh, now);
        if (!this.hasNotified) {
            this.hasNotified = true;
            this.onFirst(upstreamId);
        }
        return connection;
    }
}

/** Header that names the account of a request to a server. */
const accountHeader = "x-account";

/** Key of the caller. */
const callerKey: CallerKey = { kind: "key", key: "k" };

/** A dialect that parses every request as the same request of one caller. */
export const plainDialect: RequestDialect = {
    parseDemand: () => ({
        requestId: "q",
        key: callerKey,
        budgetMs: undefined,
        model: undefined,
        lastEventId: undefined,
    }),
    createHeaders: (_headers, { identity }) => identity?.account === undefined ? [] : [accountHeader, identity.account],
    parseResponse: () => ({
        requestId: "q",
        isNotRun: false,
        isMisdirected: false,
        isSigned: true,
        sentBy: undefined,
        softwareVersion: "v1",
        isLeaving: false,
        askedRestMs: undefined,
        limit: { kind: "none" },
    }),
    listResponseHeaders: () => [],
    createIdentityCall: () => undefined,
    parseIdentity: () => "nothing",
};

/** One route to two servers whose requests may not be retried. */
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

/** The response to a caller, and the requests that reached the servers. */
interface Served {
    readonly status: number;
    readonly text: string;
    /** Ids of the servers that a request reached. */
    readonly reached: string[];
    /** Accounts named in these requests. */
    readonly accounts: (string | undefined)[];
    /** Id of the server to which the first connection was opened. */
    readonly first: string | undefined;
}

/** Options of {@link serveWhileChanging}. */
interface ChangeOptions {
    /** @default a routing without accounts */
    readonly routing?: Routing;
    /** Model demand of the request. @default none: a plain request */
    readonly model?: ModelDemand;
    /** Models that each server holds. @default none */
    readonly models?: readonly (readonly HeldModel[])[];
    /** Creates a change that the VM learns while it opens the first connection. */
    readonly createChange?: (upstream: Upstream) => ClusterChange;
    /** Called while the VM opens the first connection. @default a function without effect */
    readonly onOpening?: (view: FleetView, upstream: string) => void;
    /** How long the VM is suspended while it opens the first connection, in milliseconds. @default 0 */
    readonly suspendedMs?: number;
    /** Creates a change that the VM learns when a request reaches a server; the servers then never respond. */
    readonly createLateChange?: () => ClusterChange;
}

/** Serves one request, and applies changes while the VM opens its first connection to a server. */
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
    const hasResponse = createLateChange === undefined;
    const servers = await Promise.all(
        ["s1", "s2"].map(id => startServer(account => receive(id, account), hasResponse)),
    );
    const upstreams = ["s1", "s2"].map((id, index) =>
        createUpstream(id, { service: "desk", address: servers[index]!.address, models: [...models[index]!] })
    );
    cluster.applyChanges([
        { kind: "routing", routing, position: 1 },
        ...upstreams.map((upstream, index): ClusterChange => ({ kind: "upstream", upstream, position: index })),
    ]);
    cluster.setReachable(true);
    // The store has been reachable for long, so that a removal takes effect at once.
    aheadMs = 10_000;
    let first: string | undefined;
    const pool = new CallbackPool(id => {
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
        budgets: () => new RetryBudget({ ratio: 0.2, slack: 100, windowMs: 10_000 }, () => 100),
        dialect: { ...plainDialect, parseDemand: headers => ({ ...plainDialect.parseDemand(headers), model }) },
        pool,
        log,
        readTime: readSteady,
        readBoot,
        admissions: new Admissions({ readTime: readSteady, send: () => true }),
        guard: createCrashGuard({ view, readTime: readSteady }),
        accounts: createAccountGuard(cluster),
        isLinked: () => true,
        sendPreparation: () => {},
        sendMissing: () => {},
        limiter: createLimiter(view),
        onMetadata: () => {},
        onRefusal: () => {},
        onRetry: () => {},
        onSilence: () => {},
        onRetryClaim: () => {},
        onChoice: () => {},
        onRedirect: () => {},
    });
    receiveVersion = () => serving.receiveVersion();
    const front = createServer((request, response) => {
        void serving.handle(new CallerExchange(request, response));
    });
    await new Promise<void>(resolve => front.listen(0, "127.0.0.1", resolve));
    const response = await fetch(`http://127.0.0.1:${(front.address() as AddressInfo).port}/`, { method: "POST" });
    const text = await response.text();
    pool.close();
    for (const { server } of [...servers, { server: front }]) {
        server.close();
        server.closeAllConnections();
    }
    return { status: response.status, text, reached, accounts, first };
}
