import { sendCompletion, sendRequest, waitFor } from "@radishreel/harness";
import { readFile } from "node:fs/promises";
import { connect } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEngine, listServiceRuns, readEngineRuns, runWithDeployment, startDeployment } from "./support.js";

/** Reads the resident memory of a process in bytes, from the second field of `statm`, in pages (see proc(5)). */
async function readResidentBytes(pid: number): Promise<number> {
    return Number((await readFile(`/proc/${pid}/statm`, "latin1")).split(" ")[1]) * 4096;
}

/** Tokens of the response that the caller does not read: far more than the buffers may hold. */
const unreadTokens = 600_000;

/** Growth of the resident memory that the buffers may cause, in bytes. */
const maxGrowthBytes = 48 * 2 ** 20;

test("a caller that does not read its response uses a bounded buffer, and its request is cancelled at the upstream", () =>
    runWithDeployment(async deployment => {
        const engine = createEngine("engine-1", { tokenMs: 0, tokens: unreadTokens });
        await startDeployment(deployment, { engines: [engine], gateway: { callerSilenceMs: 1000, silenceMs: 20_000 } });
        const [gateway] = deployment.gateways;
        const address = deployment.addresses.engines["engine-1"]!;
        await sendCompletion(gateway!.callers, "manifest@1", { tokens: 1 });
        const initialBytes = await readResidentBytes(gateway!.process.pid);
        const [host, port] = gateway!.callers.split(":") as [string, string];
        const socket = connect(Number(port), host);
        const body = JSON.stringify({ model: "manifest@1", stream: true, messages: [] });
        socket.on("error", () => {});
        socket.write(
            `POST /v1/chat/completions HTTP/1.1\r\nhost: gateway\r\nauthorization: Bearer paying-key\r\n`
                + `content-length: ${body.length}\r\n\r\n${body}`,
        );
        let peakBytes = initialBytes;
        await waitFor("the engine to end the request", async () => {
            peakBytes = Math.max(peakBytes, await readResidentBytes(gateway!.process.pid));
            const { runs } = await readEngineRuns(address);
            return runs.length === 2 && runs.every(run => run.ended);
        });
        assert.ok(
            peakBytes - initialBytes < maxGrowthBytes,
            `resident memory grew by ${Math.round((peakBytes - initialBytes) / 2 ** 20)} MiB`,
        );
        const metrics = await sendRequest(gateway!.metrics, "/metrics", { method: "GET" });
        assert.match(metrics.body, "radishreel_refusals_total{reason=\"callerGone\"} 1");
        socket.destroy();
    }));

test("a leaving service gets no new calls while the VM list is down", () =>
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
        await waitFor("both upstreams of the service to get calls", async () => {
            await Promise.all([call(), call(), call()]);
            const runs = await Promise.all(Object.values(services).map(listServiceRuns));
            return runs.every(list => list.length > 0);
        });
        await deployment.setFaults(vmList, [{ operation: "list", action: "silentBefore", count: 1000 }]);
        await sendRequest(services["labels-1"]!, "/leave", { method: "POST" });
        await waitFor("all calls to go to the other upstream", async () => {
            const before = (await listServiceRuns(services["labels-1"]!)).length;
            await Promise.all(Array.from({ length: 8 }, call));
            return (await listServiceRuns(services["labels-1"]!)).length === before;
        });
    }));

test("a planned stop of all processes during an outage of the platform does not interrupt a stream", () =>
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
