/** Starts the program of the deploy file as separate processes on loopback addresses. */
import { spawn } from "node:child_process";
import { appendFileSync, createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request as openRequest } from "node:http";
import { createServer } from "node:net";
import os from "node:os";
import path from "node:path";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

const root = path.join(import.meta.dirname, "..", "..");

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Waits until a condition holds; throws after a time limit. */
export async function waitFor(what, check, limitMs = 15_000) {
    const until = Date.now() + limitMs;
    while (!await check()) {
        if (Date.now() > until) {
            throw new Error(`${what}: not within ${limitMs} ms`);
        }
        await wait(20);
    }
}

/** Finds ports that are free on all of the hosts. */
async function findFreePorts(hosts, count) {
    const ports = [];
    while (ports.length < count) {
        const port = 20_000 + Math.floor(Math.random() * 12_000);
        const isFree = await Promise.all(hosts.map(host =>
            new Promise(resolve => {
                const probe = createServer();
                probe.once("error", () => resolve(false));
                probe.listen(port, host, () => probe.close(() => resolve(true)));
            })
        ));
        if (isFree.every(free => free) && !ports.includes(port)) {
            ports.push(port);
        }
    }
    return ports;
}

/** A record of what was sent, answered and run. */
export class Recorder {
    startedAt = Date.now();

    constructor(file) {
        this.file = file;
        writeFileSync(file, "");
    }

    write(text) {
        const line = `${((Date.now() - this.startedAt) / 1000).toFixed(3)} ${text}`;
        appendFileSync(this.file, `${line}\n`);
        process.stdout.write(`${line}\n`);
    }

    /** Writes what was sent, answered and run to the file: one line a request. */
    writeEnds(ends, findRuns) {
        const toSeconds = at => ((at - this.startedAt) / 1000).toFixed(3);
        const lines = ends.map(({ id, kind, vm, sentAt, ms, status, error, isWhole }) => {
            const runs = findRuns(id).map(({ at }) => toSeconds(at)).join(" and ") || "never";
            const answer = `${status ?? error}${isWhole === false ? " cut" : ""}`;
            return `${toSeconds(sentAt)} sent ${id} ${kind} to ${vm.name}; run at: ${runs}; `
                + `ended at ${toSeconds(sentAt + ms)}: ${answer}\n`;
        });
        appendFileSync(this.file, lines.join(""));
    }
}

/** Several VMs that run the program of the deploy file. */
export class Fleet {
    vms = [];
    isStopped = false;

    /** @param vms Names and zones of the VMs. @param bounds Further lines of the settings file. */
    constructor({ vms, storeAddress, bounds = {}, logDirectory = undefined }) {
        Object.assign(this, { storeAddress, bounds, logDirectory });
        this.folder = mkdtempSync(path.join(os.tmpdir(), "review-"));
        this.vms = vms.map(({ name, zone }, index) => ({ name, zone, host: `127.0.0.${11 + index}`, ends: [] }));
        const deploy = readFileSync(path.join(root, "deploy/system.toml"), "utf8");
        this.command = /^run = "([^"]+)"/m.exec(deploy)[1].split(" ");
        // A script that is stopped from outside still ends all processes that it started.
        process.once("SIGTERM", () => process.exit(2));
        process.once("exit", () => this.vms.forEach(({ child }) => child?.kill("SIGKILL")));
    }

    async prepare() {
        const hosts = this.vms.map(({ host }) => host);
        const [front, ready, control, internal] = await findFreePorts(hosts, 4);
        Object.assign(this, { ports: { front, ready, control, internal } });
    }

    start(vm, isBootstrap = true) {
        const { front, ready, control, internal } = this.ports;
        const file = path.join(this.folder, `${vm.name}.conf`);
        const seeds = this.vms.slice(0, 3).map(({ host }) => `${host}:${control}`).join(",");
        const zones = [...new Set(this.vms.map(({ zone }) => zone))];
        const fields = {
            node: vm.name,
            role: "radishreel",
            "machine-class": "front",
            serves: "front,control",
            ip: vm.host,
            zone: vm.zone,
            region: "r1",
            ...Object.fromEntries(zones.map(zone => [`zones.${zone}`, "r1"])),
            "listen.front": `${vm.host}:${front}`,
            "listen.ready": `${vm.host}:${ready}`,
            "listen.control": `${vm.host}:${control}`,
            "internal-ports": `${internal},${internal + 15}`,
            seeds,
            bootstrap: String(isBootstrap),
            "limits.cpu-share": "0.675",
            "limits.cores": "1",
            "limits.memory-mb": "350",
            "heartbeat-ms": "1200",
            contracts: "base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
            "bounds.drain-ms": "2000",
            "bounds.grace-s": "8",
            "bounds.config-apply-ms": "2000",
            "bounds.budget-ratio": "0.2",
            "bounds.budget-window-s": "10",
            "bounds.budget-slack": "54",
            "bounds.lease-ms": "3000",
            "bounds.version_ms": "5000",
            "platform.address": this.storeAddress,
            "platform.form": "log",
            "platform.parts": "12",
            ...this.bounds,
        };
        writeFileSync(file, Object.entries(fields).map(([key, value]) => `${key}=${value}\n`).join(""));
        const log = createWriteStream(path.join(this.logDirectory ?? this.folder, `${vm.name}.log`), { flags: "a" });
        const [program, ...rest] = this.command;
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(program, rest, {
            cwd: root,
            env: { PATH, HOME, LANG, RADISHREEL_SETTINGS: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        child.stdout.pipe(log, { end: false });
        let errors = "";
        child.stderr.on("data", chunk => {
            errors += chunk;
            log.write(chunk);
        });
        vm.child = child;
        vm.exit = new Promise(resolve =>
            child.once("exit", (code, signal) => {
                vm.child = undefined;
                vm.ends.push({ at: Date.now(), code, signal, errors });
                resolve();
            })
        );
    }

    /** Asks a VM as the platform's balancer does. */
    async isReady(vm) {
        try {
            const response = await fetch(`http://${vm.host}:${this.ports.ready}/v1/readiness`, {
                signal: AbortSignal.timeout(1000),
            });
            await response.arrayBuffer();
            return response.status === 200;
        }
        catch {
            return false;
        }
    }

    async startAll() {
        await this.prepare();
        this.vms.forEach(vm => this.start(vm));
        for (const vm of this.vms) {
            await waitFor(`${vm.name} is ready`, () => this.isReady(vm));
        }
    }

    /** Restarts each process that ends after a short delay, as the platform does, until `stop` is called. */
    restartEnded(delayMs = 500) {
        const watch = async vm => {
            for (;;) {
                await vm.exit;
                await wait(delayMs);
                if (this.isStopped) {
                    return;
                }
                this.start(vm, false);
            }
        };
        this.vms.forEach(vm => void watch(vm));
    }

    /** Ends all processes that this fleet started. */
    async stop() {
        this.isStopped = true;
        for (const vm of this.vms) {
            vm.child?.kill("SIGCONT");
            vm.child?.kill("SIGKILL");
            await vm.exit;
        }
        rmSync(this.folder, { recursive: true, force: true });
    }
}

let lastId = 0;

/** Sends one client request; resolves with its end. `isKept` tells whether its connection carried a request before. */
export function sendRequest({ host, port, path: target, method = "POST", headers = {}, body = "x", agent = false }) {
    lastId += 1;
    const id = headers["X-Request-Id"] ?? `c${process.pid.toString(16)}${lastId.toString(16).padStart(6, "0")}`;
    const sentAt = Date.now();
    return new Promise(resolve => {
        const finish = end =>
            resolve({ id, sentAt, ms: Date.now() - sentAt, isKept: outgoing.reusedSocket === true, ...end });
        const outgoing = openRequest({
            host,
            port,
            path: target,
            method,
            agent,
            headers: { Host: "a.example", "X-Request-Id": id, "X-Time-Budget": "3000", ...headers },
        }, incoming => {
            const chunks = [];
            incoming.on("data", chunk => chunks.push(chunk));
            incoming.on("error", () => {});
            incoming.on("close", () =>
                finish({
                    status: incoming.statusCode,
                    headers: incoming.headers,
                    isSigned: incoming.headers["x-response-signature"] !== undefined,
                    body: Buffer.concat(chunks).toString(),
                    isWhole: incoming.complete,
                }));
        });
        outgoing.on("error", error => finish({ status: undefined, error: error.code ?? error.message }));
        outgoing.end(method === "GET" ? undefined : body);
    });
}

/** Counts the ends of requests by status. */
export function formatEnds(ends) {
    const counts = new Map();
    for (const { status, error, isWhole } of ends) {
        const name = `${status ?? error}${isWhole === false ? " cut" : ""}`;
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return [...counts].map(([name, count]) => `${name} x ${count}`).join(", ");
}

/** A configuration like those of the sheets: one service of engines, one plain service. */
export function createConfig(version, changes = {}) {
    return {
        version,
        routes: [
            {
                name: "r-draft",
                hostname: "a.example",
                "path-prefix": "/draft/",
                kind: "stream",
                "timeout-ms": 5000,
                "target-latency-ms": 1000,
                priority: 1,
                service: "llm",
                "max-attempts": 2,
                sticky: true,
                resumable: true,
                "gap-aim-ms": 400,
            },
            {
                name: "r-label",
                hostname: "a.example",
                "path-prefix": "/label/",
                kind: "unsafe",
                "timeout-ms": 3000,
                "target-latency-ms": 386,
                priority: 2,
                service: "desk",
                "max-attempts": 1,
                resumable: false,
            },
            {
                name: "r-look",
                hostname: "a.example",
                "path-prefix": "/look/",
                kind: "safe",
                "timeout-ms": 3000,
                "target-latency-ms": 386,
                priority: 2,
                service: "desk",
                "max-attempts": 2,
                resumable: false,
            },
        ],
        services: [
            {
                name: "llm",
                "health-check": "/health",
                "max-connections": 360,
                protocol: "h1",
                tls: false,
                engine: {
                    slots: 64,
                    "kv-cache-tokens": 245_433,
                    "kv-token-bytes": 131_072,
                    "link-mbps": 550_000,
                    moves: true,
                    backups: true,
                    "host-mb": 60_000,
                    "disk-mb": 180_000,
                    models: [{
                        name: "m0",
                        "weights-mb": 42_700,
                        "load-s": 0.6,
                        adapters: 3000,
                        "adapter-mb": 66,
                        "warm-s": 0.44,
                        "disk-s": 0.57,
                    }],
                    "weights-mb": 44_000,
                    "adapter-slots": 9,
                    "loads-per-s": 2.1,
                },
            },
            { name: "desk", "health-check": "/health", "max-connections": 100, protocol: "h1", tls: false },
        ],
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
        ...changes,
    };
}

/** Starts a store, workers and VMs like those of a small deployment. */
export async function startDeployment(
    { vms = 4, engines = 3, desks = 2, bounds = {}, config = createConfig(1), listAdapters = () => ["a1"] } = {},
) {
    const zones = ["z1", "z2"];
    const store = new Store();
    await store.start("127.0.0.2");
    const workers = [];
    for (let index = 0; index < engines; index++) {
        const engine = { model: "m0", slots: 64 };
        const worker = new Worker({ id: `i-llm-${index}`, service: "llm", zone: zones[index % 2], engine });
        listAdapters(index).forEach(adapter => worker.adapters.set(adapter, 1));
        workers.push(worker);
    }
    for (let index = 0; index < desks; index++) {
        workers.push(new Worker({ id: `i-desk-${index}`, service: "desk", zone: zones[index % 2] }));
    }
    for (const [index, worker] of workers.entries()) {
        await worker.start(`127.0.0.${101 + index}`);
        store.put("keyed.servers", worker.id, worker.createEntry());
    }
    store.put("keyed.op", "config", config);
    const names = Array.from({ length: vms }, (_, index) => ({ name: `front-${index}`, zone: zones[index % 2] }));
    const fleet = new Fleet({ vms: names, storeAddress: store.address, bounds });
    const stop = async () => {
        await fleet.stop();
        store.stop();
        workers.forEach(worker => worker.stop());
    };
    const findRuns = id => workers.flatMap(({ runsById }) => runsById.get(id) ?? []);
    return { store, workers, fleet, stop, findRuns };
}

/** Keeps the deployment's clients busy: each sends one request after the other on a kept connection. */
export class Clients {
    ends = [];
    isStopped = false;

    /** @param kinds Paths in the order in which a client sends them, over and over. */
    constructor({ fleet, count, kinds, pauseMs = 0 }) {
        Object.assign(this, { fleet, pauseMs });
        this.running = Array.from(
            { length: count },
            (_, index) => this.run(fleet.vms[index % fleet.vms.length], kinds),
        );
    }

    async stop() {
        this.isStopped = true;
        await Promise.all(this.running);
    }

    createDraftHeaders() {
        return { "X-Model": "m0/a1", "X-Token-Usage": "300,400", "X-Time-Budget": String(this.draftBudgetMs) };
    }

    async run(vm, kinds) {
        const createAgent = () => new Agent({ keepAlive: true, maxSockets: 1 });
        let agent = createAgent();
        for (let index = 0; !this.isStopped; index++) {
            const kind = kinds[index % kinds.length];
            const isDraft = kind === "/draft/x";
            const end = await sendRequest({
                host: vm.host,
                port: this.fleet.ports.front,
                path: kind,
                method: kind === "/look/x" ? "GET" : "POST",
                agent,
                headers: isDraft ? this.createDraftHeaders() : {},
            });
            this.ends.push({ ...end, kind, vm });
            if (end.status === undefined || end.isWhole === false) {
                agent.destroy();
                agent = createAgent();
            }
            await wait(end.status === 200 && end.isWhole ? this.pauseMs : 50);
        }
        agent.destroy();
    }
}
