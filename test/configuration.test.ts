import { type Deployment, sendCompletion, sendRequest, waitFor } from "@radishreel/harness";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    dataCentre,
    fastAgentSettings,
    fastGatewaySettings,
    listModels,
    runWithDeployment,
    startDeployment,
    testOfferings,
    waitForOfferings,
} from "./support.js";

/** Creates the test offerings with one additional adapter. */
function createOfferings(adapter: string) {
    return {
        ...testOfferings,
        adapters: { ...testOfferings.adapters, [adapter]: { baseModel: "base", versions: ["1"] } },
    };
}

async function apply(deployment: Deployment, adapter: string, ...options: string[]) {
    const file = await deployment.writeFile(`${adapter}.json`, createOfferings(adapter));
    const { code, stdout } = await deployment.runCli(
        "apply",
        "--json",
        "--agent",
        deployment.agents[0]!.operators,
        ...options,
        file,
    );
    return { code, outcome: (JSON.parse(stdout) as { outcome: string; }).outcome };
}

test("when two operators apply at the same time, one apply succeeds and the other reports a conflict", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, { agents: 2 });
        const [left, right] = await Promise.all([
            apply(deployment, "left", "--base", "0"),
            apply(deployment, "right", "--base", "0"),
        ]);
        const codes = [left.code, right.code].sort();
        assert.equal(codes, [0, 3]);
        const winner = left.code === 0 ? "left@1" : "right@1";
        const loser = left.code === 0 ? "right@1" : "left@1";
        await waitForOfferings(deployment.gateways[0]!, winner);
        assert.not((await listModels(deployment.gateways[0]!)).includes(loser));
    }));

test("an apply whose append took effect without a response is in force and reported as in force", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment);
        await deployment.setFaults(deployment.addresses.log, [{ operation: "append", action: "loseAnswer" }]);
        assert.equal(await apply(deployment, "lost"), { code: 0, outcome: "inForce" });
        await waitForOfferings(deployment.gateways[0]!, "lost@1");
    }));

test("an apply that the log rejects is reported as not in force and changes nothing", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment);
        await deployment.setFaults(deployment.addresses.log, [{ operation: "append", action: "refuse", count: 100 }]);
        assert.equal(await apply(deployment, "refused"), { code: 4, outcome: "notInForce" });
        assert.not((await listModels(deployment.gateways[0]!)).includes("refused@1"));
    }));

test("a file with an error changes nothing, and the message gives the line of the error", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment);
        const file = await deployment.writeFile("wrong.json", {
            ...testOfferings,
            adapters: { declaration: { baseModel: "base", versions: [] } },
        });
        const { code, stderr } = await deployment.runCli("apply", "--agent", deployment.agents[0]!.operators, file);
        assert.is(code, 1);
        assert.match(stderr, /wrong\.json:1:\d+: adapters\.declaration\.versions/);
        assert.ok((await listModels(deployment.gateways[0]!)).includes("manifest@1"));
    }));

test("an agent without access to the log gets offerings from its peers, at its start and when they change", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment);
        const first = deployment.agents[0]!;
        const settingsWithoutLog = { ...fastAgentSettings, log: "127.0.0.1:1", agents: [first.peers] };
        const isolatedAgent = await deployment.startAgent("agent-cut", dataCentre, settingsWithoutLog);
        const gateway = await deployment.startGateway("gateway-cut", dataCentre, {
            ...fastGatewaySettings,
            agents: [isolatedAgent.peers],
        });
        await waitForOfferings(gateway);
        assert.equal(await apply(deployment, "late"), { code: 0, outcome: "inForce" });
        await waitForOfferings(gateway, "late@1");
    }));

test("agents and gateways that start during an outage of the log serve the offerings of the running ones", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, { agents: 2 });
        await deployment.setFaults(deployment.addresses.log, [{ operation: "*", action: "refuse", count: 100_000 }]);
        await deployment.agents[1]!.process.kill();
        const replaced = await deployment.startAgent("agent-3", dataCentre, fastAgentSettings);
        await waitFor(
            "the new agent to have the offerings",
            async () => (await sendRequest(replaced.metrics, "/readyz", { method: "GET" })).status === 200,
        );
        await deployment.agents[0]!.process.kill();
        const gateway = await deployment.startGateway("gateway-3", dataCentre, fastGatewaySettings);
        await waitForOfferings(gateway);
    }));

test("a gateway that can get no offerings rejects requests and is not ready", () =>
    runWithDeployment(async deployment => {
        await deployment.startFakes({});
        await deployment.setFaults(deployment.addresses.log, [{ operation: "*", action: "refuse", count: 100_000 }]);
        await deployment.startAgent("agent-1", dataCentre, fastAgentSettings);
        const gateway = await deployment.startGateway("gateway-1", dataCentre, fastGatewaySettings);
        const result = await sendRequest(gateway.callers, "/v1/models", { method: "GET" });
        assert.is(result.status, 503);
        assert.match(result.body, "noOfferings");
        assert.is((await sendRequest(gateway.metrics, "/readyz", { method: "GET" })).status, 503);
    }));

test("a snapshot keeps the offerings after the records before it were trimmed", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, { agent: { snapshotMs: 1 } });
        const { log } = deployment.addresses;
        const readPage = async (): Promise<{ records: { offset: number; data: string; }[]; }> =>
            JSON.parse((await sendRequest(log, "/streams/offerings?from=0", { method: "GET" })).body) as {
                records: { offset: number; data: string; }[];
            };
        const snapshot = await waitFor(
            "a snapshot record",
            async () => (await readPage()).records.find(record => record.data.includes("\"snapshot\"")),
        );
        assert.is(
            (await sendRequest(log, `/trim/offerings?before=${snapshot.offset}`, { method: "POST" })).status,
            200,
        );
        await deployment.agents[0]!.process.kill();
        await deployment.gateways[0]!.process.kill();
        await deployment.startAgent("agent-2", dataCentre, fastAgentSettings);
        const gateway = await deployment.startGateway("gateway-2", dataCentre, fastGatewaySettings);
        await waitForOfferings(gateway);
    }));

test("check, diff, status and explain report the current state to operators", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment);
        const [agent] = deployment.agents;
        const runOperatorCommand = async (
            ...args: string[]
        ): Promise<{ code: number; value: Record<string, unknown>; }> => {
            const { code, stdout } = await deployment.runCli("--json", "--agent", agent!.operators, ...args);
            return { code, value: JSON.parse(stdout) as Record<string, unknown> };
        };
        const same = await deployment.writeFile("same.json", testOfferings);
        const other = await deployment.writeFile("other.json", createOfferings("other"));
        assert.equal(await runOperatorCommand("check", same), {
            code: 0,
            value: { valid: true, customers: 2, adapters: 4, services: 1 },
        });
        assert.equal(await runOperatorCommand("diff", same), {
            code: 0,
            value: { version: 0, change: { set: [], remove: [] } },
        });
        const diff = await runOperatorCommand("diff", other);
        assert.is(diff.code, 1);
        assert.match(JSON.stringify(diff.value), "\"name\":\"other\"");
        const status = await runOperatorCommand("status");
        assert.equal([status.value.version, status.value.isLogReachable, status.value.placer], [0, true, agent!.id]);
        await sendCompletion(deployment.gateways[0]!.callers, "manifest@1");
        const explained = await waitFor("the placer to know which engine has loaded the adapter", async () => {
            const { value } = await runOperatorCommand("explain", "manifest@1");
            return JSON.stringify(value).includes("\"state\":\"loaded\"") && value;
        });
        assert.is(explained.isOffered, true);
        const unreachable = await deployment.runCli("status", "--agent", "127.0.0.1:1");
        assert.is(unreachable.code, 7);
    }));

test("an operator request with an unknown key is rejected", () =>
    runWithDeployment(async deployment => {
        await deployment.startFakes({});
        const agent = await deployment.startAgent("agent-1", dataCentre, fastAgentSettings);
        const result = await sendRequest(agent.operators, "/operator/status", {
            method: "GET",
            key: "not-an-operator",
        });
        assert.is(result.status, 401);
    }));

test.run();
