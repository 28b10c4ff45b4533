/**
 * Another writer puts an entry into the list of workers whose bytes can't be read. Each VM that deals with the entry ends
 * by itself, and cuts off what it serves.
 */
import path from "node:path";
import { Clients, formatEnds, Recorder, startDeployment, wait } from "../standins/rig.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const calmMs = 5000;
const watchMs = 15_000;

/** LOST: more than three requests that a machine in touch passed on and whose kept connection it closed. */
const allowedCuts = 3;

const recorder = new Recorder(path.join(import.meta.dirname, "record.txt"));
const deployment = await startDeployment();
const { store, workers, fleet, findRuns } = deployment;

/** An entry of a worker, but for two bytes of its address, which are not UTF-8. */
function createUnreadableEntry() {
    const [worker] = workers;
    const text = JSON.stringify({ ...worker.createEntry(), address: "127.0.0.@@:8080" });
    return Buffer.from(text.replace("@@", "\xff\xfe"), "latin1");
}

let status = 2;
try {
    await fleet.startAll();
    fleet.restartEnded();
    const clients = new Clients({ fleet, count: 24, kinds: ["/draft/x", "/look/x", "/label/x"], pauseMs: 10 });
    await wait(calmMs);
    recorder.write(`calm: ${clients.ends.length} requests ended`);
    if (hasTrouble) {
        store.append("keyed.servers", [{ key: "i-other-writer", value: createUnreadableEntry() }]);
        recorder.write("another writer put an entry with unreadable bytes in its address");
    }
    await wait(watchMs);
    await clients.stop();

    const cuts = clients.ends.filter(({ id, isKept, isWhole }) =>
        isKept && isWhole !== true && findRuns(id).length > 0
    );
    for (const { id, kind, vm, sentAt, ms, error = "cut within the answer" } of cuts) {
        const [run] = findRuns(id);
        const sentS = ((sentAt - recorder.startedAt) / 1000).toFixed(3);
        recorder.write(
            `cut: ${kind} ${id} at ${vm.name}: sent at ${sentS}, run ${run.at - sentAt} ms later, `
                + `ended after ${ms} ms: ${error}`,
        );
    }
    for (const vm of fleet.vms) {
        for (const { at, code, signal, errors } of vm.ends) {
            const reason = /^\w*Error: .*$/m.exec(errors)?.[0];
            recorder.write(
                `process of ${vm.name} ended by itself at ${((at - recorder.startedAt) / 1000).toFixed(3)} `
                    + `with ${signal ?? `status ${code}`}: ${reason}`,
            );
        }
    }
    recorder.writeEnds(clients.ends, findRuns);
    recorder.write(`answers: ${formatEnds(clients.ends)}`);
    recorder.write(
        `requests that were passed on and whose kept connection was closed without an answer: ${cuts.length}`
            + `, allowed: ${allowedCuts}`,
    );
    status = cuts.length > allowedCuts ? 1 : 0;
}
catch (error) {
    recorder.write(`the case could not run: ${error.stack}`);
}
finally {
    await deployment.stop();
}
process.exit(status);
