import { type CompletionResult, sendCompletion, sendRequest, waitFor } from "@radishreel/harness";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    createEngine,
    listLoaded,
    quickAgent,
    readEngineRuns,
    readProblem,
    runWithDeployment,
    startDeployment,
    testOfferings,
    waitForPlacer,
} from "./support.js";

const models = ["declaration@1", "declaration@2", "manifest@1", "tender@1"];

/** One more than the four slots of two engines. */
const crowd = [...models, "spare@1"];

function checkWhole(result: CompletionResult, model: string): void {
    assert.is(result.status, 200, result.body);
    assert.equal([...result.models], [model]);
    assert.ok(result.hasEndMark && !result.isBroken, "cut off");
}

test("a planned stop, asked for twice, cuts off no stream", () =>
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
        // Two signals at the same moment may arrive as one: the second waits for the first to have been taken.
        leaving!.process.signal("SIGTERM");
        await waitFor("the gateway to drain", () => leaving!.process.lines.some(line => line.includes("draining")));
        leaving!.process.signal("SIGTERM");
        const results = await Promise.all(streams);
        results.forEach((result, index) => checkWhole(result, models[index]!));
        assert.is(await leaving!.process.waitForExit(), 0);
        checkWhole(await sendCompletion(staying!.callers, models[0]!, { tokens: 1 }), models[0]!);
    }));

for (const role of ["killed", "frozen and resumed", "stopped on plan"] as const) {
    test(`when the owner of the engines is ${role}, streams go on, loaded adapters stay reachable, and nothing is evicted in use`, () =>
        runWithDeployment(async deployment => {
            await startDeployment(deployment, {
                agents: 2,
                engines: [
                    createEngine("engine-1", { tokens: 150, tokenMs: 10 }),
                    createEngine("engine-2", { tokens: 150, tokenMs: 10 }),
                ],
            });
            const [gateway] = deployment.gateways;
            checkWhole(await sendCompletion(gateway!.callers, "declaration@1", { tokens: 1 }), "declaration@1");
            const stream = sendCompletion(gateway!.callers, "declaration@1");
            await waitFor("the stream to run", async () => {
                const runs = await Promise.all(Object.values(deployment.addresses.engines).map(readEngineRuns));
                return runs.some(each => each.runs.some(run => !run.ended));
            });
            const [, victim] = deployment.agents;
            if (role === "killed") {
                await victim!.process.kill();
            }
            else if (role === "stopped on plan") {
                assert.is(await victim!.process.stop(), 0);
            }
            else {
                victim!.process.signal("SIGSTOP");
            }
            // More models than slots: evictions must go on under the new owner.
            for (const model of [...crowd, ...crowd]) {
                checkWhole(await sendCompletion(gateway!.callers, model, { tokens: 1 }), model);
            }
            victim!.process.signal("SIGCONT");
            for (const model of crowd) {
                checkWhole(await sendCompletion(gateway!.callers, model, { tokens: 1 }), model);
            }
            checkWhole(await stream, "declaration@1");
            for (const address of Object.values(deployment.addresses.engines)) {
                assert.equal((await readEngineRuns(address)).unsafeEvictions, []);
            }
        }));
}

/** Settings under which gateways notice a silent agent long before the other agents do. */
const gatewaysFirst = { agent: { peerSilenceMs: 1500 }, gateway: { peerSilenceMs: 300 } };

test("what waits while the placer is frozen is served by the next one, also when gateways notice first", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, { agents: 2, ...gatewaysFirst });
        const [gateway] = deployment.gateways;
        checkWhole(await sendCompletion(gateway!.callers, "declaration@1", { tokens: 1 }), "declaration@1");
        const placer = await waitForPlacer(deployment);
        placer.process.signal("SIGSTOP");
        checkWhole(await sendCompletion(gateway!.callers, "declaration@2", { tokens: 1 }), "declaration@2");
        placer.process.signal("SIGCONT");
        for (const model of models) {
            checkWhole(await sendCompletion(gateway!.callers, model, { tokens: 1 }), model);
        }
    }));

test("a load that was ordered of an owner while it is frozen holds up no other", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, { agents: 2 });
        const [gateway] = deployment.gateways;
        checkWhole(await sendCompletion(gateway!.callers, "declaration@1", { tokens: 1 }), "declaration@1");
        const placer = await waitForPlacer(deployment);
        const owner = deployment.agents.find(agent => agent !== placer)!;
        owner.process.signal("SIGSTOP");
        for (const model of [...models, ...models]) {
            checkWhole(await sendCompletion(gateway!.callers, model, { tokens: 1 }), model);
        }
        owner.process.signal("SIGCONT");
        for (const model of models) {
            checkWhole(await sendCompletion(gateway!.callers, model, { tokens: 1 }), model);
        }
    }));

test("an engine that starts cold in the middle answers nothing wrong, and serves again", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, {
            engines: [createEngine("engine-1", { slots: 4, servesBaseModel: false })],
        });
        const [gateway] = deployment.gateways;
        const engine = deployment.addresses.engines["engine-1"]!;
        checkWhole(await sendCompletion(gateway!.callers, "manifest@1"), "manifest@1");
        await sendRequest(engine, "/restart", { method: "POST" });
        checkWhole(await sendCompletion(gateway!.callers, "manifest@1"), "manifest@1");
    }));

test("an engine that answers with the base model for what it has lost passes nothing on", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, {
            engines: [createEngine("engine-1", { servesBaseModel: true })],
            agent: { statusMs: 2000 },
        });
        const [gateway] = deployment.gateways;
        checkWhole(await sendCompletion(gateway!.callers, "manifest@1"), "manifest@1");
        await sendRequest(deployment.addresses.engines["engine-1"]!, "/restart", { method: "POST" });
        const result = await sendCompletion(gateway!.callers, "manifest@1");
        assert.not.match(result.body, "base#");
        assert.equal([readProblem(result.body).reason, readProblem(result.body).verdict], [
            "wrongModel",
            "may-have-run",
        ]);
    }));

/** Who says first that an upstream leaves. */
for (const source of ["the engine's status", "the engine's answer", "an operator"] as const) {
    test(`a leaving engine gets nothing new within 3 s of the word of ${source}, while the list of VMs is out`, () =>
        runWithDeployment(async deployment => {
            // Where the answer is to be first, the status is asked for too seldom to be.
            await startDeployment(deployment, { agent: source === "the engine's answer" ? { statusMs: 5000 } : {} });
            const [gateway] = deployment.gateways;
            await sendCompletion(gateway!.callers, "manifest@1");
            const engines = Object.entries(deployment.addresses.engines);
            const loaded = await Promise.all(
                engines.map(async ([id, address]) => ({ id, address, models: await listLoaded(address) })),
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
            // The word is given once it is acknowledged: the start of the command line is no part of the bound.
            const toldAt = Date.now();
            const other = engines.find(([id]) => id !== leaving.id)![1];
            await waitFor("another engine to serve it", async () => {
                checkWhole(await sendCompletion(gateway!.callers, "manifest@1"), "manifest@1");
                return (await listLoaded(other)).includes("manifest@1");
            });
            const before = (await readEngineRuns(leaving.address)).runs;
            for (const { startedAt } of before) {
                assert.ok(startedAt - toldAt < 3000, `a request began ${startedAt - toldAt} ms after the word`);
            }
            for (const model of models) {
                checkWhole(await sendCompletion(gateway!.callers, model, { tokens: 1 }), model);
            }
            assert.is((await readEngineRuns(leaving.address)).runs.length, before.length);
        }));
}

test("an engine that stops answering is found, and the caller is told what may have run", () =>
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
        checkWhole(await sendCompletion(gateway!.callers, "manifest@1"), "manifest@1");
    }));

test("a paying request is answered while trial requests fill every engine", () =>
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
        checkWhole(paid, "declaration@1");
        let ended = 0;
        trials.forEach(trial => void trial.then(() => ended++));
        assert.ok(ended < 40, "the trials were not running any more");
        await Promise.all(trials);
    }));

test("a data centre cut off from the others and from the platform goes on serving", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment);
        await deployment.startAgent("agent-far", "yard", quickAgent);
        for (const address of [deployment.addresses.log, deployment.addresses.vmList]) {
            await deployment.setFaults(address, [{ operation: "*", action: "silentBefore", count: 100_000 }]);
        }
        await deployment.agents[1]!.process.kill();
        const [gateway] = deployment.gateways;
        for (const model of models) {
            checkWhole(await sendCompletion(gateway!.callers, model), model);
        }
    }));

test("a new version in the offerings is served beside the old one, each by itself", () =>
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
        results.forEach((result, index) => checkWhole(result, `declaration@${index + 1}`));
        await waitFor(
            "version 3",
            async () => (await sendCompletion(gateway!.callers, "declaration@3")).status === 200,
        );
        assert.is((await sendCompletion(gateway!.callers, "declaration@1")).status, 404);
    }));

test.run();
