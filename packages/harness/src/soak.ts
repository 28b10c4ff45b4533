#!/usr/bin/env node
/**
 * Soak test: runs processes under load and injects random failures, one or two at a time. Checks the responses and
 * verdicts of the callers against the runs of the fakes, and counts the verdicts. Arguments: --seed N --minutes N.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { request } from "undici";
import { sendCompletion, sendRequest } from "./calls.js";
import { createKeyDigest, Deployment, type GatewayProcess } from "./deployment.js";

const { values: options } = parseArgs({
    options: { seed: { type: "string", default: "1" }, minutes: { type: "string", default: "2" } },
});

const dataCentre = "soak";
const models = ["a@1", "b@1", "c@1", "d@1", "e@1", "f@1"];
const fastAgentSettings = {
    leaseMs: 1500,
    reportLagMs: 100,
    statusMs: 100,
    vmListMs: 200,
    heartbeatMs: 100,
    peerSilenceMs: 600,
    logWaitMs: 500,
};
const fastGatewaySettings = {
    renewMs: 100,
    heartbeatMs: 100,
    peerSilenceMs: 600,
    silenceMs: 1500,
    defaultDeadlineMs: 5000,
};

/** Number of concurrent callers. */
const callerCount = 12;

/** Pause of a caller between two requests, in milliseconds. */
const callerPauseMs = 30;

/** Time between two injections of failures, in milliseconds. */
const failureIntervalMs = 2500;

/** Result of a soak test. */
interface Tally {
    /** Number of requests by their last verdict. */
    told: Record<string, number>;
    /** Descriptions of wrong responses, wrong verdicts and evictions of adapters in use. */
    falsehoods: string[];
    /** Requests with the verdict `may-have-run` that did not run. */
    falseMayHaveRun: number;
    /** Calls with a request token that ran more than once. */
    doubleRuns: number;
}

/** Creates a linear congruential generator, which gives the same sequence for a seed on every machine. */
function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
        return state / 2_147_483_648;
    };
}

class Soak {
    private readonly tally: Tally = { told: {}, falsehoods: [], falseMayHaveRun: 0, doubleRuns: 0 };
    private readonly verdicts = new Map<string, string>();
    private isOver = false;
    private requestCount = 0;

    constructor(private readonly deployment: Deployment, private readonly random: () => number) {}

    async run(durationMs: number): Promise<Tally> {
        const callerLoops = Array.from({ length: callerCount }, () => this.runCaller());
        const end = performance.now() + durationMs;
        while (performance.now() < end) {
            await sleep(failureIntervalMs);
            const failures = this.random() < 0.3 ? 2 : 1;
            await Promise.all(Array.from({ length: failures }, () => this.runFailure()));
        }
        this.isOver = true;
        await Promise.all(callerLoops);
        await sleep(2000);
        await this.checkRuns();
        return this.tally;
    }

    // Callers.

    private async runCaller(): Promise<void> {
        while (!this.isOver) {
            await sleep(callerPauseMs);
            const gateway = this.chooseGateway();
            if (gateway === undefined) {
                continue;
            }
            const id = `r${++this.requestCount}`;
            const mustRunOnce = this.random() < 0.3;
            await (mustRunOnce ? this.printLabel(id, gateway) : this.sendCompletion(id, gateway)).catch(() =>
                this.record(id, "noAnswer")
            );
        }
    }

    private chooseGateway(): GatewayProcess | undefined {
        const running = this.deployment.gateways.filter(gateway => gateway.process.isRunning);
        return running[Math.floor(this.random() * running.length)];
    }

    private async sendCompletion(id: string, gateway: GatewayProcess): Promise<void> {
        const model = models[Math.floor(this.random() ** 2 * models.length)]!;
        const isStream = this.random() < 0.7;
        const result = await sendCompletion(gateway.callers, model, {
            isStream,
            user: id,
            tokens: 10,
            signal: AbortSignal.timeout(10_000),
        });
        if (result.status !== 200) {
            this.record(id, readVerdict(result.body));
            return;
        }
        if ([...result.models].some(servedModel => servedModel !== model)) {
            this.tally.falsehoods.push(`${id} asked for ${model} and was served by ${[...result.models].join()}`);
        }
        const expected = Array.from({ length: 10 }, (_, index) => `${model}#${index} `).join("");
        const isWhole = !result.isBroken && result.hasEndMark;
        if (isWhole && result.text !== expected) {
            this.tally.falsehoods.push(`${id} got ${result.text}`);
        }
        this.record(id, isWhole ? "complete" : "broken");
    }

    /** Prints a label, and repeats the call through other gateways up to three times until it succeeds. */
    private async printLabel(id: string, gateway: GatewayProcess): Promise<void> {
        const issued = await sendRequest(gateway.callers, "/v1/request-tokens", {
            body: { count: 1 },
            signal: AbortSignal.timeout(5000),
        });
        if (issued.status !== 200) {
            this.record(id, "noToken");
            return;
        }
        const [token] = (JSON.parse(issued.body) as { tokens: string[]; }).tokens;
        let verdict = "noAnswer";
        for (let tries = 0; tries < 4 && verdict !== "complete"; tries++) {
            const via = tries === 0 ? gateway : this.chooseGateway() ?? gateway;
            const result = await sendRequest(via.callers, "/v1/services/labels/print", {
                body: { id },
                headers: { "x-request-token": token! },
                signal: AbortSignal.timeout(5000),
            }).catch(() => undefined);
            verdict = result === undefined
                ? "noAnswer"
                : result.status === 200 && !result.isBroken
                ? "complete"
                : readVerdict(result.body);
        }
        this.record(id, verdict);
    }

    private record(id: string, verdict: string): void {
        this.verdicts.set(id, verdict);
        this.tally.told[verdict] = (this.tally.told[verdict] ?? 0) + 1;
    }

    // Failures.

    private async runFailure(): Promise<void> {
        const engines = Object.values(this.deployment.addresses.engines);
        const engine = engines[Math.floor(this.random() * engines.length)]!;
        const service = this.deployment.addresses.services["labels-1"]!;
        const failures: [string, () => Promise<void>][] = [
            ["kill an agent", () => this.restartAgent(false)],
            ["stop an agent", () => this.restartAgent(true)],
            ["kill a gateway", () => this.restartGateway(false)],
            ["stop a gateway", () => this.restartGateway(true)],
            ["freeze an agent", () => this.pauseProcess(this.deployment.agents)],
            ["freeze a gateway", () => this.pauseProcess(this.deployment.gateways)],
            ["engine restarts without adapters", () => sendRequest(engine, "/restart", {}).then(() => undefined)],
            [
                "engine loses responses",
                () => this.deployment.setFaults(engine, [{ operation: "completion", action: "loseAnswer", count: 5 }]),
            ],
            [
                "engine stops responding",
                () => this.deployment.setFaults(engine, [{ operation: "completion", action: "silent", count: 3 }]),
            ],
            [
                "engine truncates responses",
                () =>
                    this.deployment.setFaults(engine, [{
                        operation: "completion",
                        action: "cleanTruncate",
                        bytes: 200,
                        count: 5,
                    }]),
            ],
            ["loads fail", () => this.deployment.setFaults(engine, [{ operation: "load", action: "fail", count: 3 }])],
            [
                "evictions lose responses",
                () => this.deployment.setFaults(engine, [{ operation: "unload", action: "loseAnswer", count: 3 }]),
            ],
            [
                "service loses responses",
                () => this.deployment.setFaults(service, [{ operation: "call", action: "loseAnswer", count: 5 }]),
            ],
            [
                "service rejects calls",
                () => this.deployment.setFaults(service, [{ operation: "call", action: "refuse", count: 5 }]),
            ],
            [
                "log rejects requests",
                () =>
                    this.deployment.setFaults(this.deployment.addresses.log, [{
                        operation: "*",
                        action: "refuse",
                        count: 20,
                    }]),
            ],
            [
                "VM list does not respond",
                () =>
                    this.deployment.setFaults(this.deployment.addresses.vmList, [{
                        operation: "list",
                        action: "silentBefore",
                        count: 3,
                    }]),
            ],
        ];
        const [name, run] = failures[Math.floor(this.random() * failures.length)]!;
        process.stderr.write(`${name}\n`);
        await run();
    }

    private async restartAgent(isPlanned: boolean): Promise<void> {
        const running = this.deployment.agents.filter(agent => agent.process.isRunning);
        const chosenAgent = running[Math.floor(this.random() * running.length)];
        if (chosenAgent === undefined || running.length < 2) {
            return;
        }
        await (isPlanned ? chosenAgent.process.stop() : chosenAgent.process.kill());
        await this.deployment.startAgent(`agent-${this.deployment.agents.length + 1}`, dataCentre, fastAgentSettings);
    }

    private async restartGateway(isPlanned: boolean): Promise<void> {
        const running = this.deployment.gateways.filter(gateway => gateway.process.isRunning);
        const chosenGateway = running[Math.floor(this.random() * running.length)];
        if (chosenGateway === undefined || running.length < 2) {
            return;
        }
        await (isPlanned ? chosenGateway.process.stop() : chosenGateway.process.kill());
        await this.deployment.startGateway(
            `gateway-${this.deployment.gateways.length + 1}`,
            dataCentre,
            fastGatewaySettings,
        );
    }

    private async pauseProcess(
        candidates: readonly { process: { isRunning: boolean; signal(signal: NodeJS.Signals): void; }; }[],
    ): Promise<void> {
        const running = candidates.filter(entry => entry.process.isRunning);
        const chosenProcess = running[Math.floor(this.random() * running.length)];
        chosenProcess?.process.signal("SIGSTOP");
        await sleep(500 + this.random() * 2500);
        chosenProcess?.process.signal("SIGCONT");
    }

    // Comparison with the runs of the fakes.

    private async checkRuns(): Promise<void> {
        const ran = new Map<string, number>();
        for (const address of Object.values(this.deployment.addresses.engines)) {
            const { runs, unsafeEvictions } = await readRuns(address);
            runs.forEach(run => ran.set(run.user ?? "", (ran.get(run.user ?? "") ?? 0) + 1));
            unsafeEvictions?.forEach(eviction =>
                this.tally.falsehoods.push(`adapter evicted in use: ${JSON.stringify(eviction)}`)
            );
        }
        for (const address of Object.values(this.deployment.addresses.services)) {
            for (const run of (await readRuns(address)).runs) {
                const { id } = JSON.parse(run.body ?? "{}") as { id: string; };
                ran.set(id, (ran.get(id) ?? 0) + 1);
                this.tally.doubleRuns += ran.get(id) === 2 ? 1 : 0;
            }
        }
        for (const [id, verdict] of this.verdicts) {
            if (verdict === "not-run" && ran.has(id)) {
                this.tally.falsehoods.push(`${id} got verdict not-run but ran`);
            }
            this.tally.falseMayHaveRun += verdict === "may-have-run" && !ran.has(id) ? 1 : 0;
        }
    }
}

interface Run {
    readonly user?: string;
    readonly body?: string;
}

async function readRuns(address: string): Promise<{ runs: Run[]; unsafeEvictions?: unknown[]; }> {
    return await (await request(`http://${address}/runs`)).body.json() as { runs: Run[]; unsafeEvictions?: unknown[]; };
}

function readVerdict(body: string): string {
    try {
        return (JSON.parse(body) as { verdict?: string; }).verdict ?? "other";
    }
    catch {
        return "broken";
    }
}

async function startSoak(): Promise<void> {
    const deployment = await Deployment.create();
    try {
        const engine = { dataCentre, slots: 3, tokenMs: 3, tokens: 10, servesBaseModel: true, reportLagMs: 50 };
        await deployment.startFakes({
            engines: ["engine-1", "engine-2", "engine-3"].map(id => ({ ...engine, id })),
            services: [{ id: "labels-1", dataCentre, service: "labels" }],
        });
        for (const id of ["agent-1", "agent-2", "agent-3"]) {
            await deployment.startAgent(id, dataCentre, fastAgentSettings);
        }
        const file = await deployment.writeFile("offerings.json", {
            customers: {
                depot: {
                    class: "paying",
                    keyDigests: [createKeyDigest("paying-key")],
                    adapters: ["*"],
                    services: ["labels"],
                },
            },
            adapters: Object.fromEntries(
                models.map(model => [model.slice(0, -"@1".length), { baseModel: "base", versions: ["1"] }]),
            ),
            services: { labels: { nonIdempotent: [{ method: "POST", path: "/print" }], timeoutMs: 1000 } },
        });
        await deployment.apply(deployment.agents[0]!, file);
        for (const id of ["gateway-1", "gateway-2", "gateway-3"]) {
            await deployment.startGateway(id, dataCentre, fastGatewaySettings);
        }
        const tally = await new Soak(deployment, createRandom(Number(options.seed))).run(
            Number(options.minutes) * 60_000,
        );
        process.stdout.write(JSON.stringify({ seed: Number(options.seed), ...tally }, undefined, 4) + "\n");
        process.exitCode = tally.falsehoods.length + tally.doubleRuns === 0 ? 0 : 1;
    }
    finally {
        await deployment.stop();
    }
}

await startSoak();
