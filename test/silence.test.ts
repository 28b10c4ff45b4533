import { sendCompletion, sendRequest, waitFor } from "@radishreel/harness";
import { readFile } from "node:fs/promises";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEngine, listServiceRuns, readEngineRuns, runWithDeployment, startDeployment } from "./support.js";

/** Resident memory of a process, in bytes (proc(5): the second field of `statm`, in pages). */
async function readMemory(pid: number): Promise<number> {
    return Number((await readFile(`/proc/${pid}/statm`, "latin1")).split(" ")[1]) * 4096;
}

/** Size of the answer that nobody reads: far more than any buffer should hold. */
const unreadTokens = 600_000;
const maxGrowth = 48 * 2 ** 20;

test("a caller that leaves its answer unread holds a bounded buffer, is given up, and its upstream work ends", () =>
    runWithDeployment(async deployment => {
        const engine = createEngine("engine-1", { tokenMs: 0, tokens: unreadTokens });
        await startDeployment(deployment, { engines: [engine], gateway: { callerSilenceMs: 1000, silenceMs: 20_000 } });
        const [gateway] = deployment.gateways;
        const address = deployment.addresses.engines["engine-1"]!;
        await sendCompletion(gateway!.callers, "manifest@1", { tokens: 1 });
        const before = await readMemory(gateway!.process.pid);
        const [host, port] = gateway!.callers.split(":") as [string, string];
        const socket = connect(Number(port), host);
        const body = JSON.stringify({ model: "manifest@1", stream: true, messages: [] });
        socket.on("error", () => {});
        socket.write(
            `POST /v1/chat/completions HTTP/1.1\r\nhost: gateway\r\nauthorization: Bearer paying-key\r\n`
                + `content-length: ${body.length}\r\n\r\n${body}`,
        );
        let highest = before;
        await waitFor("the engine to stop", async () => {
            highest = Math.max(highest, await readMemory(gateway!.process.pid));
            const { runs } = await readEngineRuns(address);
            return runs.length === 2 && runs.every(run => run.ended);
        });
        assert.ok(highest - before < maxGrowth, `${Math.round((highest - before) / 2 ** 20)} MB`);
        const metrics = await sendRequest(gateway!.metrics, "/metrics", { method: "GET" });
        assert.match(metrics.body, "radishreel_refusals_total{reason=\"callerGone\"} 1");
        socket.destroy();
    }));

test("a service that leaves gets nothing new, while the list of VMs is out", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, { services: ["labels-1", "labels-2"] });
        const [gateway] = deployment.gateways;
        const { services, vmList } = deployment.addresses;
        const call = async (): Promise<void> => {
            assert.is(
                (await sendRequest(gateway!.callers, "/v1/services/labels/parcels/1", { method: "GET" })).status,
                200,
            );
        };
        await waitFor("both services to be used", async () => {
            await Promise.all([call(), call(), call()]);
            const runs = await Promise.all(Object.values(services).map(listServiceRuns));
            return runs.every(list => list.length > 0);
        });
        await deployment.setFaults(vmList, [{ operation: "list", action: "silentBefore", count: 1000 }]);
        await sendRequest(services["labels-1"]!, "/leave", { method: "POST" });
        await waitFor("calls to go elsewhere", async () => {
            const before = (await listServiceRuns(services["labels-1"]!)).length;
            await Promise.all(Array.from({ length: 8 }, call));
            return (await listServiceRuns(services["labels-1"]!)).length === before;
        });
    }));

test("a planned stop of everything during an outage of the platform cuts off no stream", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, {
            agents: 2,
            engines: [createEngine("engine-1", { tokens: 100, tokenMs: 10 })],
        });
        const [gateway] = deployment.gateways;
        const { log, vmList, engines } = deployment.addresses;
        await sendCompletion(gateway!.callers, "manifest@1", { tokens: 1 });
        const stream = sendCompletion(gateway!.callers, "manifest@1");
        await waitFor(
            "the stream to run",
            async () => (await readEngineRuns(engines["engine-1"]!)).runs.some(run => !run.ended),
        );
        for (const address of [log, vmList]) {
            await deployment.setFaults(address, [{ operation: "*", action: "silentBefore", count: 100_000 }]);
        }
        const exits = await Promise.all([...deployment.agents, gateway!].map(entry => entry.process.stop()));
        assert.equal(exits, [0, 0, 0]);
        const result = await stream;
        assert.ok(result.hasEndMark && !result.isBroken && result.models.has("manifest@1"));
    }));

test.run();
