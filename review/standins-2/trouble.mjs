// The scenario of cases 5 and 6: some workers are in trouble for some seconds, while clients send requests at steady rates.
import { createKeptConnection, sendRequest } from "./caller.mjs";
import { Deployment } from "./deployment.mjs";
import { wait } from "./net.mjs";
import { Record } from "./record.mjs";
import { checkTimeouts } from "./timeouts.mjs";

/** Exit codes of a script. */
const codes = { held: 0, broken: 1, failed: 2 };

/** When the trouble begins after the start of the traffic, how long it lasts, and how long clients send, in milliseconds. */
const troubleAtMs = 5000;
const troubleMs = 5000;
const trafficMs = 25_000;

/** Sends requests of one kind to one VM at a steady rate until the time is over. */
async function sendSteadily(vm, { perSecond, isKept = false, ...request }, endAt, results) {
    const sending = [];
    const idle = [];
    while (Date.now() < endAt) {
        const agent = isKept ? idle.pop() ?? createKeptConnection() : undefined;
        sending.push(
            sendRequest(vm, { ...request, agent }).then(result => {
                results.push(result);
                if (agent !== undefined && result.why === undefined) {
                    idle.push(agent);
                }
            }),
        );
        await wait(1000 / perSecond);
    }
    await Promise.all(sending);
    idle.forEach(agent => agent.destroy());
}

/**
 * Runs a scenario and returns the exit code.
 * @param scenario `deployment`: see {@link Deployment.start}; `traffic`: requests to each VM; `trouble`: the
 * workers in trouble and the size of the pieces that they send; `checked`: the path and the timeout of the route that is checked.
 */
async function runScenario({ folder, deployment: options, traffic, trouble, checked }) {
    const record = new Record();
    const deployment = new Deployment();
    const hasTrouble = process.env["TROUBLE"] !== "0";
    const names = trouble.workers.map(({ id }) => id).join(", ");
    const results = [];
    try {
        await deployment.start(options);
        record.add("all VMs are ready");
        const endAt = Date.now() + trafficMs;
        const sending = deployment.vms.flatMap(vm =>
            traffic.map(requests => sendSteadily(vm, requests, endAt, results))
        );
        await wait(troubleAtMs);
        if (hasTrouble) {
            record.add(`the bodies of ${names} have no end from now on`);
            trouble.workers.forEach(worker => worker.beginTrouble(trouble.pieceBytes));
        }
        await wait(troubleMs);
        if (hasTrouble) {
            record.add(`${names} answer new requests soundly again`);
            trouble.workers.forEach(worker => worker.endTrouble());
        }
        await Promise.all(sending);
        record.addTraffic(results, deployment.workers);
        for (const { id, endlessBytes } of trouble.workers) {
            record.add(`${id} has sent ${endlessBytes} bytes in bodies without end`);
        }
        const isBroken = deployment.vms.map(vm => checkVm(vm, results, checked, record)).includes(true);
        record.add(isBroken ? "the rule is broken" : "the rule held");
        return isBroken ? codes.broken : codes.held;
    }
    catch (error) {
        record.add(`the case could not run: ${error.message}`);
        return codes.failed;
    }
    finally {
        deployment.stop();
        record.write(folder);
    }
}

/** Checks the rule for one VM, and records the figures. */
function checkVm(vm, results, { path, timeoutMs }, record) {
    const own = results.filter(result => result.vm === vm.name && result.path === path);
    const { sent, long, unanswered, isBroken } = checkTimeouts(own, timeoutMs);
    const served = own.filter(({ status }) => status === 200).length;
    if (vm.end !== undefined) {
        record.add(`${vm.name} has ended by itself: code ${vm.end.code}, signal ${vm.end.signal}`, vm.end.at);
    }
    record.add(
        `${vm.name}: ${sent} requests for ${path}, ${served} served; ${long} lasted longer than ${timeoutMs} ms, `
            + `${unanswered} of them had no answer 500 ms later`,
    );
    return isBroken;
}

/** Runs a scenario as a script. */
export async function main(scenario) {
    process.exit(await runScenario(scenario));
}
