import { test } from "uvu";
import * as assert from "uvu/assert";
import { ReadQueue } from "../src/index.js";

/** A queue whose iterations of the event loop a test runs. */
function createQueue(readersPerIteration: number): { queue: ReadQueue; runIteration: () => void; } {
    let scheduled: (() => void)[] = [];
    const queue = new ReadQueue({ readersPerIteration, scheduleNext: run => scheduled.push(run) });
    const runIteration = (): void => {
        const due = scheduled;
        scheduled = [];
        due.forEach(run => run());
    };
    return { queue, runIteration };
}

test("readers that always have more to read continue in turn, a bounded number of them in each iteration", () => {
    const { queue, runIteration } = createQueue(2);
    const reads: string[] = [];
    const readOn = (reader: string): void => {
        reads.push(reader);
        queue.push(() => readOn(reader));
    };
    ["a", "b", "c"].forEach(reader => queue.push(() => readOn(reader)));
    const readsByIteration = [1, 2, 3].map(() => {
        reads.length = 0;
        runIteration();
        return reads.join("");
    });
    assert.equal(readsByIteration, ["ab", "ca", "bc"]);
});

test("a reader that waits continues in an iteration of its own once those before it have", async () => {
    const { queue, runIteration } = createQueue(1);
    const ended: string[] = [];
    const waits = ["a", "b"].map(async reader => {
        await queue.wait();
        ended.push(reader);
    });
    runIteration();
    await waits[0];
    assert.equal(ended, ["a"]);
    runIteration();
    await waits[1];
    assert.equal(ended, ["a", "b"]);
});

test.run();
