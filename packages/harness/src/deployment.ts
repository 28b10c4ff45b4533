import { type FakesAddresses, type FakesOptions, fakesSettingsSchema, type FakeVm } from "@radishreel/fakes";
import { createHash } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { ManagedProcess } from "./process.js";

/** Directory that holds the workspace's packages. */
const packagesDirectory = fileURLToPath(new URL("../../../", import.meta.url));

/** Operator key of a test deployment. */
export const operatorKey = "operator-key";

const secret = "a secret of the test deployment";

/** Settings of a program that replace the defaults of {@link Deployment}. */
export type SettingsOverrides = Readonly<Record<string, unknown>>;

/** Running agent of a deployment, with the addresses it listens on. */
export interface AgentProcess {
    readonly id: string;
    readonly dataCentre: string;
    process: ManagedProcess;
    peers: string;
    operators: string;
    metrics: string;
}

/** Running gateway of a deployment, with the addresses it listens on. */
export interface GatewayProcess {
    readonly id: string;
    readonly dataCentre: string;
    process: ManagedProcess;
    callers: string;
    peers: string;
    metrics: string;
}

/** Returns the SHA-256 digest of a key, as offerings and settings hold it. */
export function createKeyDigest(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

/** Returns the path of a program's script. */
export function findScript(program: "agent" | "gateway" | "fakes" | "cli" | "load"): string {
    return path.join(packagesDirectory, program, "dist/src/main.js");
}

/** Deployment of processes that listen on loopback, on ports chosen by the system. */
export class Deployment {
    readonly agents: AgentProcess[] = [];
    readonly gateways: GatewayProcess[] = [];
    private fakes: ManagedProcess | undefined;
    private fakesAddresses: FakesAddresses | undefined;
    private fileCount = 0;

    private constructor(private readonly directory: string) {}

    static async create(): Promise<Deployment> {
        return new Deployment(await mkdtemp(path.join(tmpdir(), "radishreel-")));
    }

    get addresses(): FakesAddresses {
        if (this.fakesAddresses === undefined) {
            throw new Error("the fakes of the deployment have not been started");
        }
        return this.fakesAddresses;
    }

    /** Starts the fakes, in one process. */
    async startFakes(settings: FakesOptions): Promise<FakesAddresses> {
        const fullSettings = fakesSettingsSchema.parse(settings);
        const { process, ready } = await this.startProgram("fakes", "fakes", fullSettings);
        this.fakes = process;
        this.fakesAddresses = ready as unknown as FakesAddresses;
        return this.fakesAddresses;
    }

    async startAgent(id: string, dataCentre: string, overrides: SettingsOverrides = {}): Promise<AgentProcess> {
        const { process, ready } = await this.startProgram(id, "agent", {
            id,
            dataCentre,
            secret,
            agents: this.agents.filter(agent => agent.process.isRunning).map(agent => agent.peers),
            operatorKeyDigests: [createKeyDigest(operatorKey)],
            log: this.addresses.log,
            vmList: this.addresses.vmList,
            logFormat: "json",
            ...overrides,
        });
        const agent = { id, dataCentre, process, ...(ready as { peers: string; operators: string; metrics: string; }) };
        this.agents.push(agent);
        return agent;
    }

    async startGateway(id: string, dataCentre: string, overrides: SettingsOverrides = {}): Promise<GatewayProcess> {
        const agents = this.agents.filter(agent => agent.dataCentre === dataCentre && agent.process.isRunning);
        const { process, ready } = await this.startProgram(id, "gateway", {
            id,
            dataCentre,
            secret,
            agents: agents.map(agent => agent.peers),
            defaultDeadlineMs: 10_000,
            drainDelayMs: 0,
            logFormat: "json",
            ...overrides,
        });
        const gateway = { id, dataCentre, process, ...(ready as { callers: string; peers: string; metrics: string; }) };
        this.gateways.push(gateway);
        return gateway;
    }

    /** Runs the command line for operators to its end. */
    async runCli(...args: string[]): Promise<{ code: number; stdout: string; stderr: string; }> {
        return runScript(findScript("cli"), ["--key", operatorKey, ...args]);
    }

    /** Applies offerings files through one agent. */
    async apply(agent: AgentProcess, ...files: string[]): Promise<void> {
        const { code, stdout, stderr } = await this.runCli("apply", "--agent", agent.operators, ...files);
        if (code !== 0) {
            throw new Error(`apply exited with code ${code}: ${stdout}${stderr}${this.formatFakesEnd()}`);
        }
    }

    /** Formats the last lines of the fakes if they have ended; nothing while they run. */
    private formatFakesEnd(): string {
        return this.fakes === undefined || this.fakes.isRunning
            ? ""
            : `the fakes ended:\n${this.fakes.lines.join("\n")}`;
    }

    /** Writes a JSON file into the deployment's directory and returns its path. */
    async writeFile(name: string, value: unknown): Promise<string> {
        const file = path.join(this.directory, name);
        await writeFile(file, JSON.stringify(value));
        return file;
    }

    /** Replaces the fault rules of a fake. */
    async setFaults(address: string, rules: readonly object[]): Promise<void> {
        await (await request(`http://${address}/faults`, { method: "PUT", body: JSON.stringify(rules) })).body.dump();
    }

    /** Replaces the VMs in the fake VM list. */
    async setVms(vms: readonly FakeVm[]): Promise<void> {
        await (await request(`http://${this.addresses.vmList}/vms`, { method: "PUT", body: JSON.stringify(vms) })).body
            .dump();
    }

    /** Kills all processes and removes the deployment's files. */
    async stop(): Promise<void> {
        const processes = [...this.gateways, ...this.agents].map(entry => entry.process);
        await Promise.all([...processes, this.fakes].map(async process => process?.kill()));
        await rm(this.directory, { recursive: true, force: true });
    }

    private async startProgram(name: string, program: "agent" | "gateway" | "fakes", settings: object) {
        const file = await this.writeFile(`${name}-${++this.fileCount}.json`, settings);
        return ManagedProcess.start(name, findScript(program), ["--settings", file]);
    }
}

/** Runs a script to its end and returns its exit code and output. */
export async function runScript(
    script: string,
    args: readonly string[],
): Promise<{ code: number; stdout: string; stderr: string; }> {
    const { execFile } = await import("node:child_process");
    return new Promise(resolve => {
        execFile(process.execPath, [script, ...args], { maxBuffer: 64 * 1024 * 1024 }, (error, stdout, stderr) => {
            resolve({ code: typeof error?.code === "number" ? error.code : error === null ? 0 : 1, stdout, stderr });
        });
    });
}
