// Writes what was sent, answered and run into the folder of a case.
import { writeFileSync } from "node:fs";
import path from "node:path";

export class Record {
    lines = [];

    constructor(startedAt = Date.now()) {
        this.startedAt = startedAt;
    }

    add(text, at = Date.now()) {
        this.lines.push({ at, text });
    }

    /** Adds a line for each response to a client, and for each run of a worker. */
    addTraffic(results, workers) {
        for (const { id, vm, path: target, sentAt, status, bytes, ms, why } of results) {
            this.add(`sent ${id} ${target} to ${vm}`, sentAt);
            const end = why === undefined ? "" : `, ${why}`;
            this.add(`answered ${id}: status ${status}, ${bytes} bytes, after ${ms} ms${end}`, sentAt + ms);
        }
        for (const { id, worker, at, isEndless } of workers.flatMap(({ runs }) => runs)) {
            this.add(`run ${id} at ${worker}${isEndless ? ", whose body does not end" : ""}`, at);
        }
    }

    write(folder) {
        const text = this.lines.sort((left, right) => left.at - right.at)
            .map(line => `${((line.at - this.startedAt) / 1000).toFixed(3).padStart(8)} s  ${line.text}\n`);
        writeFileSync(path.join(folder, "record.txt"), text.join(""));
    }
}
