import { FleetView, readEra } from "@radishreel/fleet";
import { ClusterState } from "../src/knowledge/cluster.js";
import { ChangeSharing } from "../src/knowledge/sharing.js";
import type { PeerMessage } from "../src/links/messages.js";
import type { ClusterChange, ClusterStore } from "../src/ports.js";
import type { EraResponse, Topic } from "./erastore.js";
import type { EraWorld } from "./eraworld.js";
import { createSilentLog } from "./fixtures.js";
import { SimulatedProcess } from "./network.js";

const readPauseMs = { operator: 60, upstreams: 300 };
const backoffMs = 100;
const renewMs = 1200;
const housekeepingMs = 250;

/** A process of a VM that follows the store, or other VMs, and records what it must never take back. */
export class EraVm extends SimulatedProcess {
    readonly view = new FleetView();
    readonly cluster: ClusterState;
    readonly sharing: ChangeSharing;
    /** Upstreams that this process knew to be leaving. */
    readonly knownLeaving = new Set<string>();
    /** When this process removed upstreams whose entries had been removed. */
    readonly knownGone = new Map<string, number>();
    highestVersion = 0;
    private isReading = true;
    private newestEra: number | undefined;
    private respondedAt = -Infinity;

    constructor(readonly world: EraWorld, vm: string, dataCentre: string) {
        super(world, vm);
        const readTime = () => this.readSteady();
        const log = createSilentLog(readTime);
        this.cluster = new ClusterState({
            view: this.view,
            log,
            readTime,
            readBoot: () => this.bootClock.read(),
            onChange: () => {},
            onUpstreamGone: id => this.knownGone.set(id, world.schedule.now),
            onMember: () => {},
            onRestored: () => this.sharing.askPeers(),
        });
        this.sharing = new ChangeSharing({
            vm,
            dataCentre,
            cluster: this.cluster,
            store: this.createStore(),
            log,
            readTime,
            send: (to, message) => world.send(this, to, message),
            broadcast: message => world.broadcast(this, message),
            sendToDataCentre: message =>
                world.listLinked(vm).filter(other => world.findDataCentre(other) === dataCentre)
                    .forEach(other => world.send(this, other, message)),
            listLinked: () => world.listLinked(vm),
            readStoreSilenceMs: () => this.readSteady() - this.respondedAt,
            listCrashReports: () => [],
        });
    }

    start(): void {
        this.follow("operator", undefined);
        this.follow("upstreams", undefined);
        this.renew();
        this.runHousekeeping();
    }

    override createInitialMessages(to: string): PeerMessage[] {
        const upstreams = this.view.listAnnouncedLeaving();
        return [...this.sharing.createInitialMessages(to), { type: "upstreamsLeaving", upstreams }];
    }

    override receive(from: string, message: PeerMessage): void {
        switch (message.type) {
            case "changes":
                this.receiveChanges(message.changes, from);
                return;
            case "upstreamsLeaving":
                message.upstreams.forEach(id => this.view.recordLeaving(id, this.readSteady()));
                return;
            case "positions":
                this.sharing.receivePositions(
                    from,
                    this.world.findDataCentre(from),
                    message.positions,
                    message.canRead,
                );
                return;
            case "pull":
                this.sharing.receivePull(from, message.positions);
                return;
            case "follow":
                this.sharing.receiveFollow(from, message.isWanted, message.positions);
                return;
            default:
                return;
        }
    }

    override removeVm(vm: string): void {
        this.sharing.removeVm(vm);
    }

    private createStore(): ClusterStore {
        const readIsReading = (): boolean => this.isReading;
        return {
            start: () => {},
            stop: () => {},
            appendMember: () => {},
            appendCrashReport: () => Promise.resolve(true),
            get isReading() {
                return readIsReading();
            },
            setReading: isReading => {
                this.isReading = isReading;
            },
        };
    }

    private schedulePause(ms: number, run: () => void): void {
        this.world.schedule.add(ms, () => this.schedule(run));
    }

    private runHousekeeping(): void {
        this.cluster.expireLapsed();
        this.sharing.update();
        this.schedulePause(housekeepingMs, () => this.runHousekeeping());
    }

    /** Renews the VM's membership of a group: each VM learns eras from the responses. */
    private renew(): void {
        this.world.sendCall(this.vm, () => undefined, era => {
            if (era !== undefined) {
                this.recordEra(era);
                this.respondedAt = this.readSteady();
            }
        });
        this.schedulePause(renewMs, () => this.renew());
    }

    private recordEra(era: number): void {
        const isNewer = this.newestEra !== undefined && era > this.newestEra;
        this.newestEra = Math.max(this.newestEra ?? 0, era);
        if (isNewer) {
            this.cluster.updateEra(era);
        }
    }

    /** Follows a topic of the store as the platform's reader does. */
    private follow(topic: Topic, next: number | undefined): void {
        if (next !== undefined && !this.isReading) {
            this.schedulePause(readPauseMs[topic], () => this.follow(topic, next));
            return;
        }
        const isFollowing = next !== undefined && readEra(next) === this.newestEra;
        const from = isFollowing ? next : undefined;
        this.world.sendCall(this.vm, store => store.read(topic, from), (era, response) => {
            if (era === undefined || response === undefined) {
                this.recordReachable(false);
                this.schedulePause(backoffMs, () => this.follow(topic, next));
                return;
            }
            this.recordEra(era);
            this.respondedAt = this.readSteady();
            const after = this.receiveResponse(topic, from, response);
            this.recordReachable(true);
            this.schedulePause(readPauseMs[topic], () => this.follow(topic, after ?? next));
        });
    }

    /** @returns Position up to which the topic has been read; undefined if the response cannot be used. */
    private receiveResponse(topic: Topic, from: number | undefined, response: EraResponse): number | undefined {
        const { era } = response;
        if (response.kind === "trimmed" || era !== (from === undefined ? this.newestEra : readEra(from))) {
            return undefined;
        }
        this.receiveChanges(response.changes);
        if (from === undefined && topic === "upstreams") {
            const removals = this.cluster.applyUpstreamList(response.names, response.end);
            this.sharing.forwardChanges(removals);
        }
        return response.end;
    }

    private recordReachable(isReachable: boolean): void {
        this.cluster.setReachable(isReachable);
        this.sharing.update();
    }

    private receiveChanges(changes: readonly ClusterChange[], from?: string): void {
        const fresh = this.cluster.applyChanges(changes, from);
        if (fresh.length > 0) {
            this.sharing.forwardChanges(fresh);
        }
    }
}
