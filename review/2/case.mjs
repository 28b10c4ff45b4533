/**
 * Planned work: each VM gets SIGTERM in turn and starts again. A VM that stops closes the connections of streams whose
 * answer has begun once that answer is complete, but still takes and runs the request that follows on them.
 */
import path from "node:path";
import { Clients, formatEnds, Recorder, startDeployment, wait } from "../standins/rig.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const calmMs = 5000;

/** LOST: planned work lasts from the SIGTERM until 1 s after `grace-s`. */
const graceMs = 8000;
const plannedMs = graceMs + 1000;

const restartDelayMs = 500;
const pauseBetweenVmsMs = 1500;

const recorder = new Recorder(path.join(import.meta.dirname, "record.txt"));
const deployment = await startDeployment({ engines: 4, desks: 3 });
const { workers, fleet, findRuns } = deployment;
workers.forEach(worker => Object.assign(worker, { events: 12, eventPauseMs: 40, workMs: 30 }));

/** Whether a request ended without a complete answer while its VM was stopping as planned. */
function isLost({ vm, id, sentAt, ms, isWhole }) {
    const endedAt = sentAt + ms;
    const isPlanned = vm.stoppedAt !== undefined && endedAt >= vm.stoppedAt && sentAt <= vm.stoppedAt + plannedMs;
    return isPlanned && isWhole !== true && findRuns(id).length > 0;
}

let status = 2;
try {
    await fleet.startAll();
    const clients = new Clients({ fleet, count: 100, kinds: ["/draft/x", "/label/x"] });
    await wait(calmMs);
    recorder.write(`calm: ${clients.ends.length} requests ended`);
    const cuts = [];
    for (const vm of fleet.vms) {
        if (hasTrouble) {
            vm.stoppedAt = Date.now();
            recorder.write(`SIGTERM to ${vm.name}`);
            vm.child.kill("SIGTERM");
            await vm.exit;
            recorder.write(`process of ${vm.name} ended with status ${vm.ends.at(-1).code}`);
            await wait(restartDelayMs);
            fleet.start(vm, false);
            recorder.write(`${vm.name} starts again`);
        }
        await wait(pauseBetweenVmsMs);
        cuts.push(...clients.ends.filter(end => end.vm === vm && isLost(end)));
    }
    await clients.stop();

    for (const { id, kind, vm, sentAt, ms, isKept, error = "cut within the answer" } of cuts) {
        const runs = findRuns(id);
        recorder.write(
            `lost: ${kind} ${id} on a ${isKept ? "kept" : "new"} connection to ${vm.name}: sent `
                + `${sentAt - vm.stoppedAt} ms after SIGTERM, run ${runs.length} x (${runs[0].at - sentAt} ms later, `
                + `${runs[0].bytes} bytes), ended after ${ms} ms: ${error}`,
        );
    }
    recorder.writeEnds(clients.ends, findRuns);
    recorder.write(`answers: ${formatEnds(clients.ends)}`);
    recorder.write(
        `requests that were passed on and ended without an answer around planned work: ${cuts.length}`
            + ", allowed: 0",
    );
    status = cuts.length > 0 ? 1 : 0;
}
catch (error) {
    recorder.write(`the case could not run: ${error.stack}`);
}
finally {
    await deployment.stop();
}
process.exit(status);
