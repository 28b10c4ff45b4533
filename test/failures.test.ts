import { type CompletionResult, sendCompletion, sendRequest, waitFor } from "@radishreel/harness";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    createEngine,
    fastAgentSettings,
    listLoadedAdapters,
    readEngineRuns,
    readProblem,
    runWithDeployment,
    startDeployment,
    testOfferings,
    waitForPlacer,
} from "./support.js";

const models = ["declaration@1", "declaration@2", "manifest@1", "tender@1"];

/** Five models, for two engines with four adapter slots in total. */
const modelsExceedingSlots = [...models, "spare@1"];

function checkCompleteResponse(result: CompletionResult, model: string): void {
    assert.is(result.status, 200, result.body);
    assert.equal([...result.models], [model]);
    assert.ok(result.hasEndMark && !result.isBroken, "the response is incomplete");
}

test("a gateway that receives SIGTERM twice finishes its streams before it exits", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, {
            engines: [createEngine("engine-1", { slots: 4, tokens: 60, tokenMs: 10 })],
            gateways: 2,
        });
        const [leaving, staying] = deployment.gateways;
        await Promise.all(models.map(model => sendCompletion(leaving!.callers, model, { tokens: 1 })));
        const streams = models.map(model => sendCompletion(leaving!.callers, model));
        await waitFor("the streams to run", async () => {
            const { runs } = await readEngineRuns(deployment.addresses.engines["engine-1"]!);
            return runs.filter(run => !run.ended).length === models.length;
        });
        // The system may merge two signals sent at the same moment, so the second one is sent after the gateway has
        // handled the first one.
        leaving!.process.signal("SIGTERM");
        await waitFor("the gateway to drain", () => leaving!.process.lines.some(line => line.includes("draining")));
        leaving!.process.signal("SIGTERM");
        const results = await Promise.all(streams);
        results.forEach((result, index) => checkCompleteResponse(result, models[index]!));
        assert.is(await leaving!.process.waitForExit(), 0);
        checkCompleteResponse(await sendCompletion(staying!.callers, models[0]!, { tokens: 1 }), models[0]!);
    }));

for (const failure of ["killed", "frozen and resumed", "stopped gracefully"] as const) {
    test(`when the owner of the engines is ${failure}, streams continue, adapters stay reachable and none is evicted in use`, () =>
        runWithDeployment(async deployment => {
            await startDeployment(deployment, {
                agents: 2,
                engines: [
                    createEngine("engine-1", { tokens: 150, tokenMs: 10 }),
                    createEngine("engine-2", { tokens: 150, tokenMs: 10 }),
                ],
            });
            const [gateway] = deployment.gateways;
            checkCompleteResponse(
                await sendCompletion(gateway!.callers, "declaration@1", { tokens: 1 }),
                "declaration@1",
            );
            const stream = sendCompletion(gateway!.callers, "declaration@1");
            await waitFor("the stream to run", async () => {
                const runs = await Promise.all(Object.values(deployment.addresses.engines).map(readEngineRuns));
                return runs.some(each => each.runs.some(run => !run.ended));
            });
            const [, failingAgent] = deployment.agents;
            if (failure === "killed") {
                await failingAgent!.process.kill();
            }
            else if (failure === "stopped gracefully") {
                assert.is(await failingAgent!.process.stop(), 0);
            }
            else {
                failingAgent!.process.signal("SIGSTOP");
            }
            // There are more models than adapter slots, so the new owner must evict adapters.
            for (const model of [...modelsExceedingSlots, ...modelsExceedingSlots]) {
                checkCompleteResponse(await sendCompletion(gateway!.callers, model, { tokens: 1 }), model);
            }
            failingAgent!.process.signal("SIGCONT");
            for (const model of modelsExceedingSlots) {
                checkCompleteResponse(await sendCompletion(gateway!.callers, model, { tokens: 1 }), model);
            }
            checkCompleteResponse(await stream, "declaration@1");
            for (const address of Object.values(deployment.addresses.engines)) {
                assert.equal((await readEngineRuns(address)).unsafeEvictions, []);
            }
        }));
}

/** Settings with which gateways detect a silent agent long before the other agents do. */
const gatewaysDetectFirst = { agent: { peerSilenceMs: 1500 }, gateway: { peerSilenceMs: 300 } };

test("requests that wait for a frozen placer are served by the next placer, also if gateways detect the failure first", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, { agents: 2, ...gatewaysDetectFirst });
        const [gateway] = deployment.gateways;
        checkCompleteResponse(await sendCompletion(gateway!.callers, "declaration@1", { tokens: 1 }), "declaration@1");
        const placer = await waitForPlacer(deployment);
        placer.process.signal("SIGSTOP");
        checkCompleteResponse(await sendCompletion(gateway!.callers, "declaration@2", { tokens: 1 }), "declaration@2");
        placer.process.signal("SIGCONT");
        for (const model of models) {
            checkCompleteResponse(await sendCompletion(gateway!.callers, model, { tokens: 1 }), model);
        }
    }));

test("a load order sent to a frozen owner does not block other loads", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, { agents: 2 });
        const [gateway] = deployment.gateways;
        checkCompleteResponse(await sendCompletion(gateway!.callers, "declaration@1", { tokens: 1 }), "declaration@1");
        const placer = await waitForPlacer(deployment);
        const owner = deployment.agents.find(agent => agent !== placer)!;
        owner.process.signal("SIGSTOP");
        for (const model of [...models, ...models]) {
            checkCompleteResponse(await sendCompletion(gateway!.callers, model, { tokens: 1 }), model);
        }
        owner.process.signal("SIGCONT");
        for (const model of models) {
            checkCompleteResponse(await sendCompletion(gateway!.callers, model, { tokens: 1 }), model);
        }
    }));

test("after an engine restarts without adapters, a request is still served by the requested model", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, {
            engines: [createEngine("engine-1", { slots: 4, servesBaseModel: false })],
        });
        const [gateway] = deployment.gateways;
        const engine = deployment.addresses.engines["engine-1"]!;
        checkCompleteResponse(await sendCompletion(gateway!.callers, "manifest@1"), "manifest@1");
        await sendRequest(engine, "/restart", { method: "POST" });
        checkCompleteResponse(await sendCompletion(gateway!.callers, "manifest@1"), "manifest@1");
    }));

test("a gateway forwards nothing from an engine that lost the adapter and serves the base model instead", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, {
            engines: [createEngine("engine-1", { servesBaseModel: true })],
            agent: { statusMs: 2000 },
        });
        const [gateway] = deployment.gateways;
        checkCompleteResponse(await sendCompletion(gateway!.callers, "manifest@1"), "manifest@1");
        await sendRequest(deployment.addresses.engines["engine-1"]!, "/restart", { method: "POST" });
        const result = await sendCompletion(gateway!.callers, "manifest@1");
        assert.not.match(result.body, "base#");
        assert.equal([readProblem(result.body).reason, readProblem(result.body).verdict], [
            "wrongModel",
            "may-have-run",
        ]);
    }));

/** Sources from which the VMs learn first that an upstream is leaving. */
for (const source of ["the engine's status", "the engine's response", "an operator"] as const) {
    test(`a leaving engine gets no new requests from 3 s after the announcement by ${source}, while the VM list is down`, () =>
        runWithDeployment(async deployment => {
            // For the response to announce it first, the agents poll the status less often.
            await startDeployment(deployment, { agent: source === "the engine's response" ? { statusMs: 5000 } : {} });
            const [gateway] = deployment.gateways;
            await sendCompletion(gateway!.callers, "manifest@1");
            const engines = Object.entries(deployment.addresses.engines);
            const loaded = await Promise.all(
                engines.map(async ([id, address]) => ({ id, address, models: await listLoadedAdapters(address) })),
            );
            const leaving = loaded.find(engine => engine.models.includes("manifest@1"))!;
            await deployment.setFaults(deployment.addresses.vmList, [{
                operation: "list",
                action: "silentBefore",
                count: 1000,
            }]);
            if (source === "an operator") {
                assert.is(
                    (await deployment.runCli("drain", "--agent", deployment.agents[0]!.operators, leaving.id)).code,
                    0,
                );
            }
            else {
                await sendRequest(leaving.address, "/leave", { method: "POST" });
            }
            // The bound begins with the acknowledgement of the announcement: starting the command line takes time too.
            const notifiedAt = Date.now();
            const other = engines.find(([id]) => id !== leaving.id)![1];
            await waitFor("another engine to load the adapter", async () => {
                checkCompleteResponse(await sendCompletion(gateway!.callers, "manifest@1"), "manifest@1");
                return (await listLoadedAdapters(other)).includes("manifest@1");
            });
            const before = (await readEngineRuns(leaving.address)).runs;
            for (const { startedAt } of before) {
                assert.ok(
                    startedAt - notifiedAt < 3000,
                    `a request started ${startedAt - notifiedAt} ms after the announcement`,
                );
            }
            for (const model of models) {
                checkCompleteResponse(await sendCompletion(gateway!.callers, model, { tokens: 1 }), model);
            }
            assert.is((await readEngineRuns(leaving.address)).runs.length, before.length);
        }));
}

test("when an engine stops responding, the caller gets may-have-run and the next request succeeds", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, {
            engines: [createEngine("engine-1", { slots: 4 })],
            gateway: { silenceMs: 300 },
        });
        const [gateway] = deployment.gateways;
        await sendCompletion(gateway!.callers, "manifest@1");
        await deployment.setFaults(deployment.addresses.engines["engine-1"]!, [{
            operation: "completion",
            action: "silent",
        }]);
        const result = await sendCompletion(gateway!.callers, "manifest@1");
        assert.equal([readProblem(result.body).reason, readProblem(result.body).verdict], [
            "upstreamSilent",
            "may-have-run",
        ]);
        checkCompleteResponse(await sendCompletion(gateway!.callers, "manifest@1"), "manifest@1");
    }));

test("a paying request completes while trial requests fill every engine", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, {
            engines: [createEngine("engine-1", { slots: 4, batchRoom: 4, tokens: 100, tokenMs: 10 })],
        });
        const [gateway] = deployment.gateways;
        await sendCompletion(gateway!.callers, "declaration@1", { tokens: 1 });
        const trials = Array.from({ length: 40 }, () =>
            sendCompletion(gateway!.callers, "declaration@1", {
                key: "trial-key",
                headers: { "x-deadline-ms": "30000" },
            }));
        await waitFor(
            "trial requests to run",
            async () =>
                (await readEngineRuns(deployment.addresses.engines["engine-1"]!)).runs.filter(run => !run.ended).length
                    >= 4,
        );
        const paid = await sendCompletion(gateway!.callers, "declaration@1", { tokens: 3 });
        checkCompleteResponse(paid, "declaration@1");
        let finishedTrials = 0;
        trials.forEach(trial => void trial.then(() => finishedTrials++));
        assert.ok(finishedTrials < 40, "all trial requests had finished before the paying request");
        await Promise.all(trials);
    }));

test("a data centre that is cut off from the others and from the platform continues to serve", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment);
        await deployment.startAgent("agent-far", "yard", fastAgentSettings);
        for (const address of [deployment.addresses.log, deployment.addresses.vmList]) {
            await deployment.setFaults(address, [{ operation: "*", action: "silentBefore", count: 100_000 }]);
        }
        await deployment.agents[1]!.process.kill();
        const [gateway] = deployment.gateways;
        for (const model of models) {
            checkCompleteResponse(await sendCompletion(gateway!.callers, model), model);
        }
    }));

test("a new version in the offerings is served, and running requests for removed versions finish", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment);
        const [gateway] = deployment.gateways;
        const running = ["declaration@1", "declaration@2"].map(model => sendCompletion(gateway!.callers, model));
        const changed = {
            ...testOfferings,
            adapters: { ...testOfferings.adapters, declaration: { baseModel: "base", versions: ["2", "3"] } },
        };
        await deployment.apply(deployment.agents[0]!, await deployment.writeFile("changed.json", changed));
        const results = await Promise.all(running);
        results.forEach((result, index) => checkCompleteResponse(result, `declaration@${index + 1}`));
        await waitFor(
            "version 3 to be served",
            async () => (await sendCompletion(gateway!.callers, "declaration@3")).status === 200,
        );
        assert.is((await sendCompletion(gateway!.callers, "declaration@1")).status, 404);
    }));

test.run();
