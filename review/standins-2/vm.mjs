// One VM: the program of deploy/system.toml as a separate process, with a settings file in the platform's format.
import { spawn } from "node:child_process";
import { openSync, readFileSync, writeFileSync } from "node:fs";
import { request as openRequest } from "node:http";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { wait } from "./net.mjs";

const repository = fileURLToPath(new URL("../../", import.meta.url));

/** Longest wait until a started VM is ready, in milliseconds. */
const startTimeoutMs = 20_000;

/** Reads the command that starts the program, as a list of words. */
function readCommand() {
    const text = readFileSync(path.join(repository, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

function sendCheck({ host, ports }) {
    return new Promise(resolve => {
        const request = openRequest({ host, port: ports.ready, path: "/v1/readiness", agent: false }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        request.setTimeout(500, () => request.destroy());
        request.on("error", () => resolve(false));
        request.end();
    });
}

export class Vm {
    /** How the process ended; undefined while it runs. */
    end;

    /** @param ports Ports for callers, readiness, control and between VMs: the same on all VMs, each at its own host. */
    constructor({ name, zone, host, ports, folder, store }) {
        Object.assign(this, { name, zone, host, ports, folder, store });
    }

    get seed() {
        return `${this.host}:${this.ports.control}`;
    }

    formatSettings(seeds) {
        const { host, ports } = this;
        return [
            `node=${this.name}`,
            "role=radishreel",
            "machine-class=front",
            "serves=front,control",
            `ip=${host}`,
            `zone=${this.zone}`,
            "region=dornogovi",
            `listen.front=${host}:${ports.callers}`,
            `listen.ready=${host}:${ports.ready}`,
            `listen.control=${this.seed}`,
            `internal-ports=${ports.internal},${ports.internal + 15}`,
            `seeds=${seeds.join(",")}`,
            "bootstrap=true",
            "limits.cpu-share=0.675",
            "limits.cores=1",
            "limits.memory-mb=350",
            "limits.max-fds=4100",
            "heartbeat-ms=1200",
            "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
            "bounds.stable-window-ms=3000",
            "bounds.drain-ms=2000",
            "bounds.grace-s=8",
            "bounds.config-apply-ms=2000",
            "bounds.budget-ratio=0.2",
            "bounds.budget-window-s=10",
            "bounds.budget-slack=54",
            "bounds.require-fence=false",
            "bounds.lease-ms=3000",
            "bounds.version_ms=5000",
            `platform.address=${this.store.address}`,
            "platform.form=log",
            "platform.parts=12",
            "",
        ].join("\n");
    }

    start(seeds) {
        const file = path.join(this.folder, `${this.name}.conf`);
        writeFileSync(file, this.formatSettings(seeds));
        const [program, ...words] = readCommand();
        const output = openSync(path.join(this.folder, `${this.name}.log`), "a");
        const { PATH, HOME } = process.env;
        this.process = spawn(program, words, {
            cwd: repository,
            stdio: ["ignore", output, output],
            env: { PATH, HOME, LANG: "C", RADISHREEL_SETTINGS: file },
        });
        this.process.on("exit", (code, signal) => {
            this.end = { code, signal, at: Date.now() };
        });
    }

    async waitUntilReady() {
        const endAt = Date.now() + startTimeoutMs;
        while (!await sendCheck(this)) {
            if (Date.now() > endAt || this.end !== undefined) {
                throw new Error(`${this.name} does not become ready`);
            }
            await wait(100);
        }
    }

    stop() {
        this.process?.kill("SIGKILL");
    }
}
