import { setImmediate as waitForTurn } from "node:timers/promises";

/**
 * Shares calls whose result holds for the time at which they are sent. Whoever asks while a call is under way waits for
 * the next one, since the result of the current one may be older than the question.
 */
export class CallBatches<Result> {
    /** Calls that are not sent yet, by key. */
    private readonly waiting = new Map<string, Promise<Result>>();
    /** Calls that have been sent, by key. */
    private readonly sent = new Map<string, Promise<Result>>();

    /**
     * Waits for the result of a call that is sent after this method was called. Rejects as the call does.
     * @param send Sends the call; not used if a call with this key is waiting to be sent.
     */
    ask(key: string, send: () => Promise<Result>): Promise<Result> {
        const waiting = this.waiting.get(key);
        if (waiting !== undefined) {
            return waiting;
        }
        const call = this.sendNext(key, send);
        this.waiting.set(key, call);
        return call;
    }

    private async sendNext(key: string, send: () => Promise<Result>): Promise<Result> {
        // Questions of one turn of the event loop share a call.
        await waitForTurn();
        await this.sent.get(key)?.catch(() => {
            // Whoever asked for that call learns of its failure.
        });
        this.waiting.delete(key);
        const call = send();
        this.sent.set(key, call);
        try {
            return await call;
        }
        finally {
            if (this.sent.get(key) === call) {
                this.sent.delete(key);
            }
        }
    }
}
