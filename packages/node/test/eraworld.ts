import type { Upstream } from "@radishreel/fleet";
import * as assert from "uvu/assert";
import { EraStore } from "./erastore.js";
import { EraVm } from "./eravm.js";
import { createUpstream } from "./fixtures.js";
import { SimulatedNetwork } from "./network.js";
import { createRandom } from "./random.js";

const callDelayMs = 2;
const callTimeoutMs = 700;

/** Longest time until the operator and the upstreams have written again what a restored copy of the store lacks. */
const rewriteMs = 2000;

const heartbeatMs = 1200;
const entryTimeoutMs = 3 * heartbeatMs;

/** Time between the announcement of an upstream that it is leaving, or the removal of its entry, and its end. */
const drainMs = 2500;

/** Time in which a change must be in force while nothing is disrupted. */
const applyMs = 2000;

/** Time after which all effects of a restore are over: doubtful entries are used again after 5.7 s. */
const settleMs = 9000;

const checkIntervalMs = 50;

/** Keys of the adapters whose versions the operator announces. */
const adapterKeys = ["base/a1", "base/a2"];

/** One step of a history. */
export type EraStep =
    | { readonly kind: "config" | "startUpstream" | "killAll"; }
    | { readonly kind: "version"; readonly key: number; }
    | { readonly kind: "leave" | "deregister" | "crash" | "restartUpstream"; readonly upstream: number; }
    | { readonly kind: "restore"; readonly ageMs: number; readonly downMs: number; readonly isPartial: boolean; }
    | { readonly kind: "cut" | "freeze" | "kill" | "turnAway"; readonly vm: number; readonly ms: number; }
    | { readonly kind: "lateReplies"; readonly ms: number; };

/** A step and the time that passes after it. */
export interface EraEntry {
    readonly step: EraStep;
    readonly waitMs: number;
}

/** One incarnation of an upstream. */
interface SimulatedUpstream {
    readonly entry: Upstream;
    isAlive: boolean;
    isLeaving: boolean;
    /** Whether it has removed its own entry. */
    isDeregistered: boolean;
    beatAt: number;
    writtenAt: number;
}

/** VMs, upstreams, an operator, and a store that may come back from an older copy, in simulated time. */
export class EraWorld extends SimulatedNetwork<EraVm> {
    readonly store = new EraStore(this.schedule);
    private readonly upstreams: SimulatedUpstream[] = [];
    private readonly unreachable = new Set<string>();
    private readonly random: () => number;
    private configVersion = 0;
    private readonly adapterVersions = new Map<string, number>();
    private lateRepliesUntil = -Infinity;
    private names = 0;
    /** Highest number of reads of the store within one second. */
    mostReadsPerSecond = 0;

    constructor(vmCount: number, seed: number) {
        super(Array.from({ length: vmCount }, (_, index) => `${"abc"[index % 3]!}${Math.floor(index / 3)}`));
        this.random = createRandom(seed);
    }

    findDataCentre(vm: string): string {
        return vm[0]!;
    }

    /** Starts all VMs, runs a history, and checks that after a calm time all VMs know what is written. */
    runHistory(entries: readonly EraEntry[]): void {
        this.append("config");
        for (let count = 0; count < 4; count++) {
            this.startUpstream();
        }
        this.vms.forEach(vm => this.startVm(vm));
        this.runChecks();
        this.sendHeartbeats();
        this.countReads(0);
        this.schedule.run(3000);
        for (const { step, waitMs } of entries) {
            this.apply(step);
            this.schedule.run(waitMs);
        }
        this.schedule.run(settleMs);
        this.append("config");
        this.append(adapterKeys[0]!);
        const leaving = this.upstreams.find(({ isAlive, isLeaving }) => isAlive && !isLeaving);
        this.drainUpstream(leaving);
        this.schedule.run(applyMs);
        this.checkSettled();
    }

    /**
     * Calls the store.
     * @param onResponse Called with the era of the response and its content; without an era if there is no response.
     */
    sendCall<Value>(
        vm: string,
        run: (store: EraStore) => Value,
        onResponse: (era: number | undefined, value: Value | undefined) => void,
    ): void {
        const process = this.processes.get(vm);
        const respond = (ms: number, deliver: () => void): void =>
            this.schedule.add(ms, () => process?.schedule(deliver));
        this.schedule.add(callDelayMs, () => {
            if (this.store.isDown || this.unreachable.has(vm)) {
                respond(callTimeoutMs, () => onResponse(undefined, undefined));
                return;
            }
            const [value, { era }] = [run(this.store), this.store];
            const isLate = this.schedule.now < this.lateRepliesUntil && this.random() < 0.5;
            respond(callDelayMs + (isLate ? this.random() * 600 : 0), () => onResponse(era, value));
        });
    }

    private startVm(vm: string): void {
        const process = new EraVm(this, vm, this.findDataCentre(vm));
        this.startProcess(process);
        process.start();
    }

    private apply(step: EraStep): void {
        switch (step.kind) {
            case "config":
                this.append("config");
                return;
            case "version":
                this.append(adapterKeys[step.key]!);
                return;
            case "startUpstream":
                this.startUpstream();
                return;
            case "leave":
                this.drainUpstream(this.upstreams[step.upstream]);
                return;
            case "deregister":
                this.removeEntry(this.upstreams[step.upstream]);
                return;
            case "crash":
                this.endUpstream(this.upstreams[step.upstream]);
                return;
            case "restartUpstream":
                this.restartUpstream(this.upstreams[step.upstream]);
                return;
            case "restore":
                this.beginEra(step.ageMs, step.downMs, step.isPartial);
                return;
            case "lateReplies":
                this.lateRepliesUntil = this.schedule.now + step.ms;
                return;
            case "killAll":
                this.vms.forEach(vm => this.restartVm(vm, 300));
                return;
            case "cut":
                this.closeLinksOf(this.vms[step.vm % this.vms.length]!, step.ms);
                return;
            case "freeze":
                this.processes.get(this.vms[step.vm % this.vms.length]!)?.pause(step.ms);
                return;
            case "kill":
                this.restartVm(this.vms[step.vm % this.vms.length]!, step.ms);
                return;
            case "turnAway":
                this.refuse(this.vms[step.vm % this.vms.length]!, step.ms);
                return;
        }
    }

    private restartVm(vm: string, downMs: number): void {
        this.kill(vm);
        this.schedule.add(downMs, () => this.startVm(vm));
    }

    private closeLinksOf(vm: string, ms: number): void {
        this.closePathsOf([vm]);
        this.refuse(vm, ms);
        this.schedule.add(ms, () => this.openPaths());
    }

    private refuse(vm: string, ms: number): void {
        this.unreachable.add(vm);
        this.schedule.add(ms, () => this.unreachable.delete(vm));
    }

    /** @param isPartial Whether half of the VMs reach the store only a second later. */
    private beginEra(ageMs: number, downMs: number, isPartial: boolean): void {
        if (this.store.isDown) {
            return;
        }
        this.store.isDown = true;
        this.schedule.add(downMs, () => {
            this.store.isDown = false;
            this.store.beginEra(ageMs);
            if (isPartial) {
                this.vms.filter((_, index) => index % 2 === 0).forEach(vm => this.refuse(vm, 1000));
            }
            for (const key of ["config", ...adapterKeys]) {
                this.schedule.add(this.random() * rewriteMs, () => this.write(key));
            }
            for (const upstream of this.upstreams) {
                upstream.beatAt = this.schedule.now;
                this.schedule.add(this.random() * rewriteMs, () => this.writeEntry(upstream));
            }
        });
    }

    /** Lets the operator name a new version of the configuration or of an adapter. */
    private append(key: string): void {
        if (key === "config") {
            this.configVersion += 1 + Math.floor(this.random() * 3);
        }
        else {
            this.adapterVersions.set(key, (this.adapterVersions.get(key) ?? 1) + 1);
        }
        this.write(key);
    }

    /** Writes what the operator named last, with retries until the store accepts it. */
    private write(key: string): void {
        if (this.store.isDown) {
            this.schedule.add(100, () => this.write(key));
            return;
        }
        if (key === "config") {
            const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
            const routing = { version: this.configVersion, routes: [], services: [], limits };
            this.store.append("operator", key, { kind: "routing", routing });
            return;
        }
        const version = this.adapterVersions.get(key);
        if (version !== undefined) {
            this.store.append("operator", key, { kind: "version", key, version });
        }
    }

    private startUpstream(name = `u${++this.names}`, bornAt = 1): void {
        const upstream = {
            entry: createUpstream(`${name}@${bornAt}`, { name, bornAt, service: "desk", models: [] }),
            isAlive: true,
            softwareVersion: "v1",
            isLeaving: false,
            isDeregistered: false,
            beatAt: this.schedule.now,
            writtenAt: this.schedule.now,
        };
        this.upstreams.push(upstream);
        this.writeEntry(upstream);
    }

    /** Writes an upstream's entry unless the store holds it, or removes it. */
    private writeEntry(upstream: SimulatedUpstream): void {
        const { entry, isLeaving, isAlive, isDeregistered } = upstream;
        const isNewest = this.upstreams.findLast(other => other.entry.name === entry.name) === upstream;
        if (!isNewest || (!isAlive && !isDeregistered)) {
            return;
        }
        if (this.store.isDown) {
            this.schedule.add(100, () => this.writeEntry(upstream));
            return;
        }
        const stored = this.store.findNewest("upstreams", entry.name);
        if (isDeregistered) {
            if (stored?.kind === "upstream") {
                this.store.append("upstreams", entry.name, { kind: "upstreamGone", name: entry.name });
            }
            return;
        }
        if (stored?.kind !== "upstream" || stored.upstream.id !== entry.id || stored.upstream.isLeaving !== isLeaving) {
            this.store.append("upstreams", entry.name, { kind: "upstream", upstream: { ...entry, isLeaving } });
            upstream.writtenAt = this.schedule.now;
        }
    }

    /** Lets upstreams send heartbeats, and the store remove the entries of those that are silent. */
    private sendHeartbeats(): void {
        const { now } = this.schedule;
        for (const upstream of this.upstreams) {
            if (upstream.isAlive && !upstream.isDeregistered) {
                upstream.beatAt = now;
                this.writeEntry(upstream);
            }
            const { name, id } = upstream.entry;
            const stored = this.store.findNewest("upstreams", name);
            const isSilent = now - upstream.beatAt > entryTimeoutMs && !this.store.isDown;
            if (isSilent && stored?.kind === "upstream" && stored.upstream.id === id) {
                this.store.append("upstreams", name, { kind: "upstreamGone", name });
            }
        }
        this.schedule.add(heartbeatMs / 2, () => this.sendHeartbeats());
    }

    private drainUpstream(upstream: SimulatedUpstream | undefined): void {
        if (upstream?.isAlive === true && !upstream.isLeaving) {
            upstream.isLeaving = true;
            this.writeEntry(upstream);
            this.schedule.add(drainMs, () => this.removeEntry(upstream));
        }
    }

    /** Lets an upstream remove its entry, and end some time later. */
    private removeEntry(upstream: SimulatedUpstream | undefined): void {
        if (upstream?.isAlive === true && !upstream.isDeregistered) {
            upstream.isDeregistered = true;
            this.writeEntry(upstream);
            this.schedule.add(drainMs, () => this.endUpstream(upstream));
        }
    }

    private endUpstream(upstream: SimulatedUpstream | undefined): void {
        if (upstream !== undefined) {
            upstream.isAlive = false;
        }
    }

    private restartUpstream(upstream: SimulatedUpstream | undefined): void {
        if (upstream?.isAlive === true) {
            this.endUpstream(upstream);
            this.startUpstream(upstream.entry.name, upstream.entry.bornAt + 1);
        }
    }

    private countReads(before: number): void {
        this.mostReadsPerSecond = Math.max(this.mostReadsPerSecond, this.store.reads - before);
        const { reads } = this.store;
        this.schedule.add(1000, () => this.countReads(reads));
    }

    /** Checks regularly that no process goes back on what it knew. */
    private runChecks(): void {
        for (const process of this.processes.values()) {
            this.checkKnowledge(process);
        }
        this.schedule.add(checkIntervalMs, () => this.runChecks());
    }

    private checkKnowledge(process: EraVm): void {
        const version = process.cluster.routes?.routing.version ?? 0;
        assert.ok(version >= process.highestVersion, `${process.vm} went back from ${process.highestVersion}`);
        process.highestVersion = version;
        for (const { upstream } of process.view.listUpstreams()) {
            const { id } = upstream;
            const isUsable = process.view.isUsable(id);
            if (!isUsable) {
                process.knownLeaving.add(id);
            }
            assert.not(isUsable && process.knownLeaving.has(id), `${process.vm} uses ${id}, which is leaving`);
            const { isAlive, writtenAt } = this.upstreams.find(({ entry }) => entry.id === id)!;
            const goneAt = process.knownGone.get(id) ?? -Infinity;
            const isUsedAgain = isUsable && !isAlive && writtenAt < goneAt;
            assert.not(isUsedAgain, `${process.vm} uses ${id} again, which is gone, at ${this.schedule.now}`);
        }
    }

    private checkSettled(): void {
        const usable = this.upstreams.filter(({ isAlive, isLeaving, isDeregistered }) =>
            isAlive && !isLeaving && !isDeregistered
        ).map(({ entry }) => entry.id).sort();
        for (const { vm, cluster, view } of this.processes.values()) {
            assert.is(cluster.routes?.routing.version, this.configVersion, `configuration of ${vm}`);
            for (const [key, version] of this.adapterVersions) {
                assert.is(view.versions.findNewest(key)?.version, version, `version of ${key} at ${vm}`);
            }
            assert.equal(
                view.listUsable("desk").map(({ upstream }) => upstream.id).sort(),
                usable,
                `upstreams of ${vm}`,
            );
        }
    }
}
