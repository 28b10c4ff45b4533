/** Clients that do not keep to the limits cost the programs beside the platform no more than their memory and descriptors. */
import {
    type AgentProcess,
    countDescriptors,
    Crowd,
    type CrowdOptions,
    type GatewayProcess,
    type ManagedProcess,
    readPeakMemoryMb,
    sendRequest,
    waitFor,
} from "@radishreel/harness";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { listModels, runWithDeployment, startDeployment } from "./support.js";

/** Memory and descriptors that a process may take. */
const memoryMb = 256;
const maxDescriptors = 500;

/** Descriptors that a process without clients may have open. */
const idleDescriptors = 100;

/** Largest body of a request to the gateway, and most connections to each listener. */
const maxBodyBytes = 1024 * 1024;
const maxConnections = 200;

const key = "Authorization: Bearer paying-key\r\n";
const head = `POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 5000\r\n${key}`;
const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;

/** Listeners of the programs. */
type Listener = "callers" | "peers" | "metrics" | "agentOperators" | "agentPeers" | "agentMetrics";

function findAddress(listener: Listener, gateway: GatewayProcess, agent: AgentProcess): string {
    switch (listener) {
        case "agentOperators":
            return agent.operators;
        case "agentPeers":
            return agent.peers;
        case "agentMetrics":
            return agent.metrics;
        default:
            return gateway[listener];
    }
}

function checkUse(name: string, { pid, isRunning }: ManagedProcess): void {
    assert.ok(isRunning, "the process has ended");
    const peakMb = Math.round(readPeakMemoryMb(pid));
    console.log(`${name}: at most ${peakMb} MB`);
    assert.ok(peakMb <= memoryMb, `${peakMb} MB of ${memoryMb} MB were in use`);
}

/** Defines a test of a gateway or an agent with a crowd of clients. */
function runCrowdTest(name: string, listener: Listener, options: Omit<CrowdOptions, "address">): void {
    test(name, () =>
        runWithDeployment(async deployment => {
            const limits = { maxConnections };
            await startDeployment(deployment, { gateway: { ...limits, maxBodyBytes }, agent: limits });
            const [gateway] = deployment.gateways as [GatewayProcess];
            const [agent] = deployment.agents as [AgentProcess];
            const { process } = listener.startsWith("agent") ? agent : gateway;
            const crowd = new Crowd({ ...options, address: findAddress(listener, gateway, agent) });
            await crowd.waitUntilSettled();
            assert.ok(process.isRunning, "the process has ended");
            const open = countDescriptors(process.pid);
            assert.ok(open <= maxDescriptors, `${open} descriptors are open`);
            await waitFor("an ordinary request to be answered", async () => (await listModels(gateway)).length > 0);
            crowd.stop();
            await waitFor("descriptors to be closed", () => countDescriptors(process.pid) <= idleDescriptors);
            const { status } = await sendRequest(gateway.callers, "/v1/models", { method: "GET" });
            assert.is(status, 200);
            checkUse(name, process);
        }));
}

for (const listener of ["callers", "peers", "metrics", "agentOperators", "agentMetrics"] as const) {
    runCrowdTest(`requests behind each other stay within a process's memory: ${listener}`, listener, {
        clients: 60,
        start: "",
        unit: `GET /v1/models HTTP/1.1\r\nHost: h\r\n${key}\r\n`,
        repeats: 40_000,
    });
}

for (const listener of ["callers", "peers", "metrics", "agentOperators", "agentPeers", "agentMetrics"] as const) {
    runCrowdTest(`connections that send nothing leave descriptors to others: ${listener}`, listener, {
        clients: 600,
        start: "",
    });
}

runCrowdTest("bodies in chunks of a byte stay within a gateway's memory", "callers", {
    clients: 100,
    start: chunkedHead,
    unit: "1\r\nx\r\n",
    repeats: 1_000_000,
});

runCrowdTest("bodies in large chunks that stop short of their end stay within a gateway's memory", "callers", {
    clients: 200,
    start: chunkedHead,
    unit: `10000\r\n${"x".repeat(0x10000)}\r\n`,
    repeats: 15,
});

runCrowdTest("bodies that announce a length far beyond the limit stay within a gateway's memory", "callers", {
    clients: 200,
    start: `${head}Content-Length: 10000000000\r\n\r\n`,
    unit: "x".repeat(64 * 1024),
    repeats: 128,
});

runCrowdTest("frames of peers that do not know the secret stay within an agent's memory", "agentPeers", {
    clients: 60,
    start: "\x00\x0f\xff\xff",
    unit: "x".repeat(64 * 1024),
    repeats: 15,
});

test.run();
