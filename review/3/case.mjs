/**
 * A tenant sends many times its usual, and the process that counts its quota is killed twice. Each process that takes
 * over the count grants the tolerance beyond the quota once more.
 */
import path from "node:path";
import { createConfig, formatEnds, Recorder, sendRequest, startDeployment, wait } from "../standins/rig.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const calmMs = 5000;
const hotMs = 9500;

/** Quota of the tenant: the lowest rate of the site, its burst of one second, and its tokens of a plain request. */
const quota = { rate: 29_000, burst: 29_000, plainTokens: 200 };

/** Bounds of the site. */
const bounds = { windowS: 8, overage: 0.1, slack: 110_000 };

/** The VM that counts the tenant's quota, and when its process is killed, from the start of the tenant's rush. */
const countingVm = "front-2";
const killsAtMs = [1500, 4000];
const restartDelayMs = 500;

const clientsPerVm = 6;
const pauseAfterRefusalMs = 25;

const recorder = new Recorder(path.join(import.meta.dirname, "record.txt"));
const config = createConfig(1, {
    tenants: [{
        name: "t1",
        "api-keys": ["key-1"],
        priority: 1,
        unit: "tokens",
        "plain-tokens": quota.plainTokens,
        "rate-per-s": quota.rate,
        burst: quota.burst,
    }],
});
const deployment = await startDeployment({
    engines: 2,
    desks: 3,
    config,
    bounds: {
        contracts: "base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform",
        "bounds.revoke-strict": "true",
        "bounds.revoke-ms": "5000",
        "bounds.quota-window-s": String(bounds.windowS),
        "bounds.quota-overage": String(bounds.overage),
        "bounds.quota-slack": String(bounds.slack),
    },
});
const { workers, fleet } = deployment;
workers.forEach(worker => Object.assign(worker, { workMs: 5 }));

/** Sends the tenant's requests one after the other until `until`. */
async function sendAll(vm, until, ends) {
    while (Date.now() < until) {
        const end = await sendRequest({
            host: vm.host,
            port: fleet.ports.front,
            path: "/look/x",
            method: "GET",
            headers: { Authorization: "Bearer key-1" },
        });
        ends.push({ ...end, kind: "/look/x", vm });
        if (end.status !== 200) {
            await wait(end.status === undefined ? 100 : pauseAfterRefusalMs);
        }
    }
}

async function killTwice(startedAt) {
    const vm = fleet.vms.find(({ name }) => name === countingVm);
    for (const atMs of killsAtMs) {
        await wait(startedAt + atMs - Date.now());
        recorder.write(`SIGKILL to ${vm.name}`);
        vm.child.kill("SIGKILL");
        await vm.exit;
        await wait(restartDelayMs);
        fleet.start(vm, false);
        recorder.write(`${vm.name} starts again`);
    }
}

/** Finds the window in which most tokens were both sent and run. */
function findWorstWindow(runs) {
    let worst = { tokens: 0, from: 0 };
    for (const { sentAt: from } of runs) {
        const until = from + bounds.windowS * 1000;
        const counted = runs.filter(({ sentAt, ranAt }) => sentAt >= from && ranAt <= until);
        const tokens = counted.length * quota.plainTokens;
        worst = tokens > worst.tokens ? { tokens, from } : worst;
    }
    return worst;
}

let status = 2;
try {
    await fleet.startAll();
    await wait(calmMs);
    const startedAt = Date.now();
    recorder.write("the tenant begins to send");
    const ends = [];
    const clients = fleet.vms.flatMap(vm =>
        Array.from({ length: clientsPerVm }, () => sendAll(vm, startedAt + hotMs, ends))
    );
    await Promise.all([...clients, hasTrouble ? killTwice(startedAt) : undefined]);

    const sentAt = new Map(ends.map(end => [end.id, end.sentAt]));
    const runs = workers.flatMap(worker => worker.runs).filter(({ id }) => sentAt.has(id))
        .map(({ id, at }) => ({ sentAt: sentAt.get(id), ranAt: at }));
    recorder.writeEnds(ends, deployment.findRuns);
    const worst = findWorstWindow(runs);
    const limit = (quota.rate * bounds.windowS + quota.burst) * (1 + bounds.overage) + bounds.slack;
    recorder.write(`answers: ${formatEnds(ends)}`);
    recorder.write(
        `most tokens that were sent and run within ${bounds.windowS} s: ${worst.tokens}, from `
            + `${((worst.from - startedAt) / 1000).toFixed(3)} s after the start of the rush; allowed: ${
                Math.round(limit)
            }`,
    );
    status = worst.tokens > limit ? 1 : 0;
}
catch (error) {
    recorder.write(`the case could not run: ${error.stack}`);
}
finally {
    await deployment.stop();
}
process.exit(status);
