#!/usr/bin/env node
/**
 * Demo on the fakes: starts all processes, applies the example offerings, sends requests and prints the responses.
 * With `--serve` the processes run until they are interrupted.
 */
import { fileURLToPath } from "node:url";
import { sendCompletion, sendRequest } from "./calls.js";
import { Deployment } from "./deployment.js";
import { waitFor } from "./wait.js";

const exampleFile = fileURLToPath(new URL("../../../../examples/offerings.jsonc", import.meta.url));

function print(line: string): void {
    process.stdout.write(line + "\n");
}

async function runDemo(isServing: boolean): Promise<void> {
    const deployment = await Deployment.create();
    try {
        await deployment.startFakes({
            engines: ["engine-1", "engine-2"].map(id => ({ id, dataCentre: "depot", slots: 2, tokens: 4 })),
            services: [{ id: "labels-1", dataCentre: "depot", service: "labels" }],
        });
        const agent = await deployment.startAgent("agent-1", "depot");
        const gateway = await deployment.startGateway("gateway-1", "depot");
        print(`agent ${agent.id}: peers ${agent.peers}, operators ${agent.operators}, metrics ${agent.metrics}`);
        print(`gateway ${gateway.id}: callers ${gateway.callers}, metrics ${gateway.metrics}`);
        await deployment.apply(agent, exampleFile);
        print("applied examples/offerings.jsonc");
        await waitFor(
            "the gateway to have the offerings",
            async () =>
                (await sendRequest(gateway.callers, "/v1/models", { method: "GET" })).body.includes("declaration@2"),
        );
        await printRequests(gateway.callers);
        if (isServing) {
            print("\nServing until interrupted. For example:");
            print(
                `curl -N http://${gateway.callers}/v1/chat/completions -H 'Authorization: Bearer paying-key' `
                    + `-d '{"model":"declaration@2","stream":true,"messages":[{"role":"user","content":"Hello"}]}'`,
            );
            await new Promise<void>(resolve => process.once("SIGINT", resolve).once("SIGTERM", resolve));
        }
    }
    finally {
        await deployment.stop();
    }
}

async function printRequests(callers: string): Promise<void> {
    for (const model of ["declaration@2", "manifest@1"]) {
        const result = await sendCompletion(callers, model);
        const isComplete = result.hasEndMark && result.models.size === 1 && result.models.has(model);
        print(
            `completion of ${model}: ${result.status}, ${
                isComplete ? "complete, from the requested model" : "WRONG"
            }: ${result.text.trim()}`,
        );
        if (!isComplete) {
            throw new Error(`${model}: ${result.status} ${result.body}`);
        }
    }
    const tokens = await sendRequest(callers, "/v1/request-tokens", { body: { count: 1 } });
    const [token] = (JSON.parse(tokens.body) as { tokens: string[]; }).tokens;
    const firstResponse = await sendRequest(callers, "/v1/services/labels/print", {
        body: { parcel: 7 },
        headers: { "x-request-token": token! },
    });
    const repeatedResponse = await sendRequest(callers, "/v1/services/labels/print", {
        body: { parcel: 7 },
        headers: { "x-request-token": token! },
    });
    print(`label printed: ${firstResponse.status} ${firstResponse.body.trim()}`);
    print(
        `repeated with the same request token: ${repeatedResponse.status}, ${
            firstResponse.body === repeatedResponse.body ? "same response, printed once" : "WRONG"
        }`,
    );
    if (firstResponse.status !== 200 || firstResponse.body !== repeatedResponse.body) {
        throw new Error(repeatedResponse.body);
    }
}

await runDemo(process.argv.includes("--serve"));
