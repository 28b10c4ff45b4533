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

/** Options of one engine in the settings of the fakes. */
type EngineOptions = NonNullable<FakesOptions["engines"]>[number];

/** Data centre of the tests that need a single one. */
export const dataCentre = "depot";

/** Offerings of the tests: a paying and a trial client account, four adapters and one service. */
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

/** Agent settings with intervals that are short enough for tests. */
export const fastAgentSettings = {
    leaseMs: 1500,
    reportLagMs: 100,
    statusMs: 100,
    vmListMs: 100,
    heartbeatMs: 100,
    peerSilenceMs: 600,
    logWaitMs: 500,
};
/** Gateway settings with intervals that are short enough for tests. */
export const fastGatewaySettings = { renewMs: 100, heartbeatMs: 100, peerSilenceMs: 600, silenceMs: 3000 };

/** Creates the options of an engine of a test deployment. */
export function createEngine(id: string, options: Partial<EngineOptions> = {}): EngineOptions {
    return { id, dataCentre, slots: 2, tokenMs: 2, tokens: 4, ...options };
}

/** Creates the options of an upstream of the `labels` service. */
export function createLabels(id: string) {
    return { id, dataCentre, service: "labels" };
}

/** Waits until a gateway lists a model, by default one of the test offerings. */
export async function waitForOfferings(gateway: GatewayProcess, model = "declaration@2"): Promise<void> {
    await waitFor(`${gateway.id} to have ${model}`, async () => (await listModels(gateway)).includes(model));
}

/** Waits until the logs show exactly one agent as the placer, and returns this agent. */
export function waitForPlacer(deployment: Deployment): Promise<AgentProcess> {
    return waitFor("exactly one placer", () => {
        const placers = deployment.agents.filter(agent => {
            const last = agent.process.lines.filter(line => line.includes("placer")).at(-1);
            return last?.includes("is placer") ?? false;
        });
        return placers.length === 1 ? placers[0] : undefined;
    });
}

/** Lists the models that the paying account may use at a gateway; none if the gateway rejects the request. */
export async function listModels(gateway: GatewayProcess): Promise<string[]> {
    const { status, body } = await sendRequest(gateway.callers, "/v1/models", { method: "GET" });
    return status === 200 ? (JSON.parse(body) as { data: { id: string; }[]; }).data.map(model => model.id) : [];
}

/** Runs a test with a new deployment and stops the deployment afterwards, also if the test fails. */
export async function runWithDeployment(run: (deployment: Deployment) => Promise<void>): Promise<void> {
    const deployment = await Deployment.create();
    try {
        await run(deployment);
    }
    finally {
        await deployment.stop();
    }
}

/** Starts the processes of a deployment and waits until every gateway serves the test offerings. */
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
        await deployment.startAgent(`agent-${index}`, dataCentre, { ...fastAgentSettings, ...options.agent });
    }
    await deployment.apply(deployment.agents[0]!, await deployment.writeFile("offerings.json", testOfferings));
    for (let index = 1; index <= gateways; index++) {
        await deployment.startGateway(`gateway-${index}`, dataCentre, { ...fastGatewaySettings, ...options.gateway });
    }
    await Promise.all(deployment.gateways.map(gateway => waitForOfferings(gateway)));
}

async function readJson<Value>(address: string, path: string): Promise<Value> {
    return await (await request(`http://${address}${path}`)).body.json() as Value;
}

/** Lists the calls that a fake service ran. */
export async function listServiceRuns(address: string): Promise<{ method: string; path: string; body: string; }[]> {
    return (await readJson<{ runs: { method: string; path: string; body: string; }[]; }>(address, "/runs")).runs;
}

/** Reads the completions that a fake engine ran, and its evictions of adapters in use. */
export function readEngineRuns(address: string) {
    return readJson<
        { runs: { model: string; servedBy: string; startedAt: number; ended: boolean; }[]; unsafeEvictions: object[]; }
    >(
        address,
        "/runs",
    );
}

/** Lists the adapters that a fake engine has loaded. */
export async function listLoadedAdapters(address: string): Promise<string[]> {
    return (await readJson<{ adapters: { model: string; }[]; }>(address, "/status")).adapters.map(adapter =>
        adapter.model
    );
}

/** Obtains request tokens for the paying account. */
export async function createTokens(gateway: GatewayProcess, count: number): Promise<string[]> {
    const { body } = await sendRequest(gateway.callers, "/v1/request-tokens", { body: { count } });
    return (JSON.parse(body) as { tokens: string[]; }).tokens;
}

/** Prints a label: a non-idempotent call with a request token. */
export function printLabel(gateway: GatewayProcess, token: string, parcel: number) {
    return sendRequest(gateway.callers, "/v1/services/labels/print", {
        body: { parcel },
        headers: { "x-request-token": token },
    });
}

/** Reads the reason and the verdict of a problem document; neither if the body is not JSON. */
export function readProblem(body: string): { reason?: string; verdict?: string; } {
    try {
        return JSON.parse(body) as { reason?: string; verdict?: string; };
    }
    catch {
        return {};
    }
}
