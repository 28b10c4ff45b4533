import { scheduleAfterReads, type ScheduledRun } from "../clock.js";

/** Watches how long an upstream sends nothing. */
export class SilenceWatch {
    private timer: ScheduledRun | undefined;
    private isUpstreamSilent = false;
    private hasEnded = false;
    private waiters: (() => void)[] = [];

    /** Whether the upstream has sent nothing for the time limit. */
    get isSilent(): boolean {
        return this.isUpstreamSilent;
    }

    /** Starts to wait for data, or for more data. @param limitMs Infinity if no silence is too long. */
    restart(limitMs: number): void {
        this.pause();
        if (!this.hasEnded && limitMs !== Infinity) {
            this.timer = scheduleAfterReads(() => this.setSilent(true), limitMs);
        }
    }

    /** Stops counting: nothing is expected from the upstream now. */
    pause(): void {
        this.timer?.cancel();
        this.setSilent(false);
    }

    /** Ends the watch, since the response has ended. */
    end(): void {
        this.hasEnded = true;
        this.pause();
        this.signalChange();
    }

    /** Waits until the upstream is silent. @returns False if the response ended before. */
    async waitForSilence(): Promise<boolean> {
        while (!this.isUpstreamSilent && !this.hasEnded) {
            await this.waitForChange();
        }
        return this.isUpstreamSilent;
    }

    /** Waits until the silence is over, by data or by the end of the response. */
    async waitForData(): Promise<void> {
        while (this.isUpstreamSilent) {
            await this.waitForChange();
        }
    }

    private setSilent(isSilent: boolean): void {
        if (this.isUpstreamSilent !== isSilent) {
            this.isUpstreamSilent = isSilent;
            this.signalChange();
        }
    }

    private async waitForChange(): Promise<void> {
        await new Promise<void>(resolve => this.waiters.push(resolve));
    }

    private signalChange(): void {
        const { waiters } = this;
        this.waiters = [];
        waiters.forEach(resolve => resolve());
    }
}
