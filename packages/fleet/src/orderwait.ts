/** Longest wait for the answer to an order, in milliseconds: 99 in 100 take less than 50. */
const maxWaitMs = 90;

/** Shortest wait, in milliseconds: an answer that is only late must not be taken for a lost one. */
const minWaitMs = 40;

/** Usual time of answers times this is waited: at 5 ms on average, 1 in 100 took 22 to 30 ms. */
const waitFactor = 10;

/** Time of answers until one has come, in milliseconds. */
const startAnswerMs = 9;

/** Weight of one answer against what is known. */
const answerWeight = 0.1;

/**
 * How long to wait for an engine's answer to an order. An order without an answer is sent again after it, with the same
 * expected sequence, and holds up all others meanwhile: where a third of the answers is lost, engines loaded 5 adapters a
 * second in place of 16.
 */
export class OrderWait {
    private answerMs = startAnswerMs;

    /** Time to wait, in milliseconds. */
    read(): number {
        return Math.min(Math.max(this.answerMs * waitFactor, minWaitMs), maxWaitMs);
    }

    /** Takes an answer. @param ms Time from its order. */
    record(ms: number): void {
        this.answerMs += (ms - this.answerMs) * answerWeight;
    }
}
