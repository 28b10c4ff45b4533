import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";

/** Number of log lines that are kept for error messages. */
const maxLogLines = 200;

/** Child process of the demo, a test or a benchmark. The product itself starts no processes. */
export class ManagedProcess {
    /** Last lines that the process wrote to standard error. */
    readonly lines: string[] = [];
    private readonly exited: Promise<number | undefined>;

    private constructor(readonly name: string, private readonly child: ChildProcess) {
        this.exited = once(child, "exit").then(([code]) => (code as number | null) ?? undefined);
        createInterface({ input: child.stderr! }).on("line", line => {
            this.lines.push(line);
            if (this.lines.length > maxLogLines) {
                this.lines.shift();
            }
        });
    }

    /** Starts a script and waits for the line of JSON that reports its readiness. */
    static async start(
        name: string,
        script: string,
        args: readonly string[],
    ): Promise<{ process: ManagedProcess; ready: Record<string, unknown>; }> {
        const child = spawn(process.execPath, [script, ...args], { stdio: ["ignore", "pipe", "pipe"] });
        const managed = new ManagedProcess(name, child);
        const lines = createInterface({ input: child.stdout });
        const ready = await Promise.race([
            once(lines, "line").then(([line]) => JSON.parse(line as string) as Record<string, unknown>),
            managed.exited.then(code => {
                throw new Error(
                    `${name} exited with code ${String(code)} before it was ready:\n${managed.lines.join("\n")}`,
                );
            }),
        ]);
        return { process: managed, ready };
    }

    get pid(): number {
        return this.child.pid ?? -1;
    }

    get isRunning(): boolean {
        return this.child.exitCode === null && this.child.signalCode === null;
    }

    /** Sends a signal and does not wait. */
    signal(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /** Waits for the exit of the process. Returns its exit code, or undefined if a signal ended it. */
    waitForExit(): Promise<number | undefined> {
        return this.exited;
    }

    /** Sends SIGTERM and waits for the exit. Returns the same as {@link waitForExit}. */
    async stop(): Promise<number | undefined> {
        this.signal("SIGTERM");
        return this.exited;
    }

    /** Kills the process, also if it is frozen, and waits for its exit. Simulates the failure of a VM. */
    async kill(): Promise<void> {
        if (!this.isRunning) {
            return;
        }
        this.signal("SIGKILL");
        await this.exited;
    }
}
