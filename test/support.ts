import type { FakesOptions } from "@radishreel/fakes";
import {
    type AgentProcess,
    createKeyDigest,
    Deployment,
    type GatewayProcess,
    sendRequest,
    waitFor,
} from "@radishreel/harness";
import { request } from "undici";

/** An engine of the stand-ins' settings. */
type EngineOptions = NonNullable<FakesOptions["engines"]>[number];

/** The data centre of tests that need one only. */
export const dataCentre = "depot";

/** Offerings that the tests use: a paying and a trial customer, three adapters, one service. */
export const testOfferings = {
    customers: {
        depot: { class: "paying", keyDigests: [createKeyDigest("paying-key")], adapters: ["*"], services: ["labels"] },
        prospect: { class: "trial", keyDigests: [createKeyDigest("trial-key")], adapters: ["declaration"] },
    },
    adapters: {
        declaration: { baseModel: "base", versions: ["1", "2"] },
        manifest: { baseModel: "base", versions: ["1"] },
        tender: { baseModel: "base", versions: ["1"] },
        spare: { baseModel: "base", versions: ["1"] },
    },
    services: { labels: { nonIdempotent: [{ method: "POST", path: "/print" }], timeoutMs: 1500 } },
};

/** Intervals short enough for tests. */
export const quickAgent = {
    leaseMs: 1500,
    reportLagMs: 100,
    statusMs: 100,
    vmListMs: 100,
    heartbeatMs: 100,
    peerSilenceMs: 600,
    logWaitMs: 500,
};
export const quickGateway = { renewMs: 100, heartbeatMs: 100, peerSilenceMs: 600, silenceMs: 3000 };

/** An engine of a test deployment. */
export function createEngine(id: string, options: Partial<EngineOptions> = {}): EngineOptions {
    return { id, dataCentre, slots: 2, tokenMs: 2, tokens: 4, ...options };
}

/** A service upstream of a test deployment. */
export function createLabels(id: string) {
    return { id, dataCentre, service: "labels" };
}

/** Waits until a gateway serves the test offerings. */
export async function waitForOfferings(gateway: GatewayProcess, model = "declaration@2"): Promise<void> {
    await waitFor(`${gateway.id} to have ${model}`, async () => (await listModels(gateway)).includes(model));
}

/** Waits until just one agent says that it is the placer. */
export function waitForPlacer(deployment: Deployment): Promise<AgentProcess> {
    return waitFor("one placer", () => {
        const placers = deployment.agents.filter(agent => {
            const last = agent.process.lines.filter(line => line.includes("placer")).at(-1);
            return last?.includes("is placer") ?? false;
        });
        return placers.length === 1 ? placers[0] : undefined;
    });
}

/** Models that the paying customer may use at a gateway. */
export async function listModels(gateway: GatewayProcess): Promise<string[]> {
    const { status, body } = await sendRequest(gateway.callers, "/v1/models", { method: "GET" });
    return status === 200 ? (JSON.parse(body) as { data: { id: string; }[]; }).data.map(model => model.id) : [];
}

/** Runs a test with a deployment that is gone afterwards, whatever happens. */
export async function runWithDeployment(run: (deployment: Deployment) => Promise<void>): Promise<void> {
    const deployment = await Deployment.create();
    try {
        await run(deployment);
    }
    finally {
        await deployment.stop();
    }
}

/** A deployment with the test offerings in force at every gateway. */
export async function startDeployment(
    deployment: Deployment,
    options: {
        engines?: EngineOptions[];
        agents?: number;
        gateways?: number;
        agent?: object;
        gateway?: object;
        services?: string[];
    } = {},
): Promise<void> {
    const {
        engines = [createEngine("engine-1"), createEngine("engine-2")],
        agents = 1,
        gateways = 1,
        services = ["labels-1"],
    } = options;
    await deployment.startFakes({
        engines,
        services: services.map(createLabels),
    });
    for (let index = 1; index <= agents; index++) {
        await deployment.startAgent(`agent-${index}`, dataCentre, { ...quickAgent, ...options.agent });
    }
    await deployment.apply(deployment.agents[0]!, await deployment.writeFile("offerings.json", testOfferings));
    for (let index = 1; index <= gateways; index++) {
        await deployment.startGateway(`gateway-${index}`, dataCentre, { ...quickGateway, ...options.gateway });
    }
    await Promise.all(deployment.gateways.map(gateway => waitForOfferings(gateway)));
}

async function readJson<Value>(address: string, path: string): Promise<Value> {
    return await (await request(`http://${address}${path}`)).body.json() as Value;
}

/** What a stand-in service truly ran. */
export async function listServiceRuns(address: string): Promise<{ method: string; path: string; body: string; }[]> {
    return (await readJson<{ runs: { method: string; path: string; body: string; }[]; }>(address, "/runs")).runs;
}

/** What a stand-in engine truly ran, and what it evicted in use. */
export function readEngineRuns(address: string) {
    return readJson<
        { runs: { model: string; servedBy: string; startedAt: number; ended: boolean; }[]; unsafeEvictions: object[]; }
    >(
        address,
        "/runs",
    );
}

/** Models that a stand-in engine has loaded. */
export async function listLoaded(address: string): Promise<string[]> {
    return (await readJson<{ adapters: { model: string; }[]; }>(address, "/status")).adapters.map(adapter =>
        adapter.model
    );
}

/** Request tokens for the paying customer. */
export async function createTokens(gateway: GatewayProcess, count: number): Promise<string[]> {
    const { body } = await sendRequest(gateway.callers, "/v1/request-tokens", { body: { count } });
    return (JSON.parse(body) as { tokens: string[]; }).tokens;
}

/** Prints a label: a call that must not run twice. */
export function printLabel(gateway: GatewayProcess, token: string, parcel: number) {
    return sendRequest(gateway.callers, "/v1/services/labels/print", {
        body: { parcel },
        headers: { "x-request-token": token },
    });
}

/** Reason and verdict of a problem. */
export function readProblem(body: string): { reason?: string; verdict?: string; } {
    try {
        return JSON.parse(body) as { reason?: string; verdict?: string; };
    }
    catch {
        return {};
    }
}
