import { type CallerResult, sendRequest, waitFor } from "@radishreel/harness";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
    createTokens,
    dataCentre,
    fastGatewaySettings,
    listServiceRuns,
    printLabel,
    readProblem,
    runWithDeployment,
    startDeployment,
} from "./support.js";

test("a call repeated through every gateway with one token runs once, and all callers get the same response", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, { gateways: 3, services: ["labels-1", "labels-2"] });
        const [first, second, third] = deployment.gateways;
        const [token] = await createTokens(first!, 1);
        const results: CallerResult[] = [];
        for (const gateway of [second!, first!, third!, second!]) {
            results.push(await printLabel(gateway, token!, 1));
        }
        assert.ok(
            results.every(result => result.status === 200 && result.body === results[0]!.body),
            JSON.stringify(results),
        );
        const runs = await Promise.all(Object.values(deployment.addresses.services).map(listServiceRuns));
        assert.is(runs.flat().length, 1);
    }));

test("a request that a load balancer sends to two gateways at once runs once", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, { gateways: 2 });
        const tokens = await createTokens(deployment.gateways[0]!, 20);
        await Promise.all(
            tokens.flatMap((token, parcel) => deployment.gateways.map(gateway => printLabel(gateway, token, parcel))),
        );
        const runs = await listServiceRuns(deployment.addresses.services["labels-1"]!);
        assert.is(runs.length, 20);
        assert.is(new Set(runs.map(run => run.body)).size, 20);
    }));

test("when the response of the service is lost, every attempt gets may-have-run and the call runs once", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, { gateways: 2 });
        const service = deployment.addresses.services["labels-1"]!;
        const [token] = await createTokens(deployment.gateways[0]!, 1);
        await deployment.setFaults(service, [{ operation: "call", action: "loseAnswer" }]);
        for (const gateway of [...deployment.gateways, ...deployment.gateways]) {
            const result = await printLabel(gateway, token!, 1);
            assert.is(readProblem(result.body).verdict, "may-have-run", result.body);
        }
        assert.is((await listServiceRuns(service)).length, 1);
    }));

test("a call that the service rejected without running it can be repeated with the same token", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment);
        const service = deployment.addresses.services["labels-1"]!;
        const [token] = await createTokens(deployment.gateways[0]!, 1);
        await deployment.setFaults(service, [{ operation: "call", action: "refuse", count: 100 }]);
        const refused = await printLabel(deployment.gateways[0]!, token!, 1);
        assert.is(readProblem(refused.body).verdict, "not-run", refused.body);
        assert.is((await listServiceRuns(service)).length, 0);
        await deployment.setFaults(service, []);
        await waitFor(
            "the label to be printed",
            async () => (await printLabel(deployment.gateways[0]!, token!, 1)).status === 200,
        );
        assert.is((await listServiceRuns(service)).length, 1);
    }));

/** What happens to the gateway that issued a token between the call and its repetition through another gateway. */
const issuerFailures = ["killed", "frozen", "restarted at the same address"] as const;

for (const issuerFailure of issuerFailures) {
    test(`when the issuer of a token is ${issuerFailure}, a repeated call gets may-have-run and runs once`, () =>
        runWithDeployment(async deployment => {
            await startDeployment(deployment, { gateways: 2, gateway: { silenceMs: 500, tokenLifeMs: 60_000 } });
            const [issuer, other] = deployment.gateways;
            const [used, unused] = await createTokens(issuer!, 2);
            assert.is((await printLabel(issuer!, used!, 1)).status, 200);
            if (issuerFailure === "frozen") {
                issuer!.process.signal("SIGSTOP");
            }
            else {
                await issuer!.process.kill();
            }
            if (issuerFailure === "restarted at the same address") {
                const port = Number(issuer!.peers.split(":")[1]);
                await deployment.startGateway(issuer!.id, dataCentre, {
                    ...fastGatewaySettings,
                    peers: { host: "127.0.0.1", port },
                });
            }
            for (const token of [used!, unused!]) {
                const result = await printLabel(other!, token, 1);
                assert.is(readProblem(result.body).verdict, "may-have-run", result.body);
            }
            issuer!.process.signal("SIGCONT");
            const runs = await listServiceRuns(deployment.addresses.services["labels-1"]!);
            // A frozen issuer may run the call that was forwarded to it, once, after it resumes.
            assert.ok(runs.length <= 2 && runs.length >= 1, String(runs.length));
            if (issuerFailure !== "frozen") {
                assert.is(runs.length, 1);
            }
        }));
}

test("a gateway that stops as planned hands over its tokens: used tokens keep their response, unused ones stay valid", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment, { gateways: 3 });
        const [issuer, other, third] = deployment.gateways;
        const [used, unused] = await createTokens(issuer!, 2);
        const printed = await printLabel(issuer!, used!, 1);
        assert.is(printed.status, 200);
        assert.is(await issuer!.process.stop(), 0);
        for (const gateway of [other!, third!]) {
            const again = await waitFor("the handover of the tokens to be known", async () => {
                const result = await printLabel(gateway, used!, 1);
                return result.status === 200 && result;
            });
            assert.is(again.body, printed.body);
            assert.is((await printLabel(gateway, unused!, 2)).status, 200);
        }
        assert.is((await listServiceRuns(deployment.addresses.services["labels-1"]!)).length, 2);
    }));

test("a token is valid for one account and one request", () =>
    runWithDeployment(async deployment => {
        await startDeployment(deployment);
        const [gateway] = deployment.gateways;
        const [token] = await createTokens(gateway!, 1);
        assert.is((await printLabel(gateway!, token!, 1)).status, 200);
        const other = await printLabel(gateway!, token!, 2);
        assert.is(readProblem(other.body).reason, "requestTokenMismatch");
        const foreignUse = await sendRequest(gateway!.callers, "/v1/chat/completions", {
            key: "trial-key",
            headers: { "x-request-token": token! },
            body: { model: "declaration@1", messages: [] },
        });
        assert.is(readProblem(foreignUse.body).reason, "requestTokenOfAnother");
    }));

test.run();
