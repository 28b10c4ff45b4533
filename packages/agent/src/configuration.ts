import type { LogClient } from "@radishreel/log";
import {
    type ApplyOutcome,
    type ApplyRecord,
    type Change,
    type ContentRecord,
    emptyVersion,
    encodeRecord,
    OfferingsFold,
    offeringsStream,
} from "@radishreel/offerings";
import type { AgentMetrics, Logger } from "@radishreel/telemetry";
import { randomUUID } from "node:crypto";
import { EventEmitter, once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { Backoff } from "./backoff.js";

/** An apply that an operator requested. */
export interface ApplyRequest {
    /** Chosen by the operator's command, which uses the same id when it retries. */
    readonly applyId: string;
    readonly base: number;
    readonly digest: string;
    readonly author: string;
    readonly change: Change;
}

/** Outcome of an apply. */
export type ApplyResult =
    | { readonly kind: "accepted"; readonly version: number; }
    | { readonly kind: "void"; readonly reason: string; }
    /** The log did not accept the record: the change will not come into force without another apply. */
    | { readonly kind: "notInForce"; readonly message: string; }
    /** The log may have accepted the record, and cannot be read. */
    | { readonly kind: "unknown"; readonly message: string; };

/** Options of {@link ConfigurationTask}. */
export interface ConfigurationOptions {
    readonly log: LogClient;
    readonly logWaitMs: number;
    readonly snapshotMs: number;
    readonly metrics: AgentMetrics;
    readonly logger: Logger;
    /** Called when the version in force has changed. */
    readonly onChange: () => void;
    /** Whether this agent is the one that writes snapshots. */
    readonly isSnapshotWriter: () => boolean;
}

/** Maximum time for which an apply waits for its record to appear in the log, in milliseconds. */
const applyTimeoutMs = 5000;

/** Interval at which the age of the last snapshot is checked, in milliseconds. */
const snapshotCheckMs = 1000;

/** Follows the offerings in the log and appends changes and snapshots. */
export class ConfigurationTask {
    readonly fold = new OfferingsFold();
    private readonly changes = new EventEmitter();
    private readonly stopping = new AbortController();
    private isLogDown = false;
    private isSnapshotting = false;
    /** Whether every record of the log has been folded at least once. */
    private isLogRead = false;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: ConfigurationOptions) {
        this.changes.setMaxListeners(0);
    }

    start(): void {
        void this.follow();
        this.timer = setInterval(() => void this.writeSnapshot(), snapshotCheckMs);
    }

    stop(): void {
        this.stopping.abort();
        clearInterval(this.timer);
    }

    /** Whether the last read of the log succeeded. */
    get isLogReachable(): boolean {
        return !this.isLogDown;
    }

    /** Handles a newer version that a peer sent. */
    recordPeerChange(): void {
        this.receiveVersion("peer");
    }

    /** Appends an apply and determines its outcome, also when the response to the append is lost. */
    async apply(request: ApplyRequest): Promise<ApplyResult> {
        const deadline = performance.now() + applyTimeoutMs;
        const record: ApplyRecord = { kind: "apply", ...request, at: Date.now() };
        let mayBeAppended = false;
        while (performance.now() < deadline) {
            const knownOutcome = this.fold.findOutcome(request.applyId);
            if (knownOutcome !== undefined) {
                return createResult(knownOutcome);
            }
            const appended = await this.append(record);
            if (appended.kind === "notDone") {
                // An earlier append with an unknown outcome may still take effect.
                return mayBeAppended
                    ? { kind: "unknown", message: appended.message }
                    : { kind: "notInForce", message: `the log did not take it: ${appended.message}` };
            }
            mayBeAppended = true;
            // The record in the log decides the outcome, not the response to the append.
            const outcome = await this.waitForOutcome(
                request.applyId,
                appended.kind === "done" ? appended.offset : undefined,
                deadline,
            );
            if (outcome !== undefined) {
                return createResult(outcome);
            }
        }
        return {
            kind: "unknown",
            message: "the log may have taken it, but cannot be read; ask again with the same apply id",
        };
    }

    // Following the log.

    private async follow(): Promise<void> {
        const backoff = new Backoff();
        while (!this.stopping.signal.aborted) {
            const page = await this.options.log.read(offeringsStream, this.fold.nextOffset, this.options.logWaitMs);
            if (page.isErr()) {
                this.options.metrics.logFailures.inc({ operation: "read" });
                this.recordLogReachability(false, page.error.message);
                await sleep(backoff.readNextMs(), undefined, { signal: this.stopping.signal }).catch(() => undefined);
                continue;
            }
            backoff.recordSuccess();
            this.recordLogReachability(true, "");
            const { version, isKnown } = this.fold;
            this.fold.foldPage(page.value);
            this.isLogRead = this.fold.nextOffset >= page.value.end;
            this.changes.emit("page");
            if (this.fold.version !== version || this.fold.isKnown !== isKnown) {
                this.receiveVersion("log");
            }
        }
    }

    private recordLogReachability(isReachable: boolean, message: string): void {
        if (isReachable !== this.isLogDown) {
            return;
        }
        this.isLogDown = !isReachable;
        if (isReachable) {
            this.options.logger.info("the log is reachable again");
            return;
        }
        this.options.logger.warn("the log is not reachable", { message });
    }

    private receiveVersion(source: "log" | "peer"): void {
        this.options.metrics.offeringsVersion.set(this.fold.version);
        this.options.logger.info("offerings in force", { version: this.fold.version, source });
        this.changes.emit("page");
        this.options.onChange();
    }

    // Appending.

    private async append(record: ContentRecord): Promise<AppendResult> {
        let offset = -1;
        for (const text of encodeRecord(record, randomUUID())) {
            const appended = await this.options.log.append(offeringsStream, text);
            if (appended.isErr()) {
                this.options.metrics.logFailures.inc({ operation: "append" });
                const { effect, message } = appended.error;
                return effect === "notDone" ? { kind: "notDone", message } : { kind: "unknown" };
            }
            offset = appended.value;
        }
        return { kind: "done", offset };
    }

    /** Waits until the record is folded, or until the log has been read past the position where it would be. */
    private async waitForOutcome(
        applyId: string,
        offset: number | undefined,
        deadline: number,
    ): Promise<ApplyOutcome | undefined> {
        const start = this.fold.nextOffset;
        while (performance.now() < deadline) {
            const outcome = this.fold.findOutcome(applyId);
            if (outcome !== undefined) {
                return outcome;
            }
            const isPast = offset === undefined ? await this.isFoldedToEnd(start) : this.fold.nextOffset > offset;
            if (isPast) {
                return this.fold.findOutcome(applyId);
            }
            const signal = AbortSignal.timeout(Math.max(1, Math.min(applyPollMs, deadline - performance.now())));
            await once(this.changes, "page", { signal }).catch(() => undefined);
        }
        return undefined;
    }

    /** Whether every record that the log holds now is folded. Called after an append whose outcome is unknown. */
    private async isFoldedToEnd(start: number): Promise<boolean> {
        const page = await this.options.log.read(offeringsStream, start, 0);
        return page.isOk() && this.fold.nextOffset >= page.value.end;
    }

    private async writeSnapshot(): Promise<void> {
        const { oldestNeededAt, version } = this.fold;
        // A version received from a peer whose records the log no longer holds is written at once.
        const isLost = oldestNeededAt === undefined && version !== emptyVersion && this.isLogRead;
        const isDue = isLost || (oldestNeededAt !== undefined && Date.now() - oldestNeededAt > this.options.snapshotMs);
        if (!isDue || this.isSnapshotting || !this.options.isSnapshotWriter()) {
            return;
        }
        const snapshot = this.fold.createSnapshot(Date.now());
        if (snapshot === undefined) {
            return;
        }
        this.isSnapshotting = true;
        const appended = await this.append(snapshot);
        this.isSnapshotting = false;
        if (appended.kind === "done") {
            this.options.logger.info("wrote a snapshot of the offerings", {
                version: snapshot.version,
                offset: appended.offset,
            });
        }
    }
}

/** Interval at which an apply checks whether its record was folded, in milliseconds. */
const applyPollMs = 100;

type AppendResult =
    | { readonly kind: "done"; readonly offset: number; }
    | { readonly kind: "notDone"; readonly message: string; }
    | { readonly kind: "unknown"; };

function createResult(outcome: ApplyOutcome): ApplyResult {
    return outcome.accepted
        ? { kind: "accepted", version: outcome.offset }
        : { kind: "void", reason: outcome.reason ?? "baseMoved" };
}
