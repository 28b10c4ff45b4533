import type { FleetView } from "@radishreel/fleet";
import type { Timers } from "../clock.js";
import type { DecisionLog } from "../decisions.js";
import type { ClusterState } from "../knowledge/cluster.js";
import type { OwnEntry } from "../knowledge/ownentry.js";
import type { Coordinators } from "../links/coordinators.js";
import type { Peers } from "../links/peers.js";
import type { StreamHistoryStore } from "../ports.js";
import { VersionClaims } from "./claims.js";
import { StreamDirectory } from "./directory.js";
import { StreamHistoryReader } from "./history.js";
import { StreamRecorder } from "./recorder.js";
import { type OriginSource, StreamResolver } from "./resolver.js";

/** Options of {@link Streams}. */
export interface StreamsOptions {
    /** This VM. */
    readonly vm: string;
    readonly view: FleetView;
    readonly store: StreamHistoryStore;
    readonly log: DecisionLog;
    readonly readTime: () => number;
    readonly timers: Timers;
    readonly cluster: Pick<ClusterState, "routes" | "listMembers">;
    readonly coordinators: () => Pick<Coordinators, "list" | "listStreamHolders">;
    readonly peers: () => Pick<Peers, "isMesh" | "listConnected" | "listKnown" | "send" | "sendToAll">;
    readonly ownEntry: Pick<OwnEntry, "appendClaims">;
    readonly onResolved: (source: OriginSource) => void;
    /** Called when streams may begin at further software versions. */
    readonly onChange: () => void;
}

/** Keeps each stream at the software version that began it: within one response, and over the attempts of its caller. */
export class Streams {
    readonly claims: VersionClaims;
    readonly directory: StreamDirectory;
    readonly resolver: StreamResolver;
    private readonly recorder: StreamRecorder;
    /** Services of the stream routes of a configuration, and that configuration. */
    private streamServices: ReadonlySet<string> = new Set();
    private routes: ClusterState["routes"];
    private recording: { cancel(): void; } | undefined;

    constructor(private readonly options: StreamsOptions) {
        const { vm, view, store, log, readTime, timers, cluster, coordinators, peers, ownEntry } = options;
        this.claims = new VersionClaims({
            readTime,
            listUpstreams: () => view.listUpstreams().map(({ upstream }) => upstream),
            hasStreams: service => this.hasStreams(service),
            listMembers: () => cluster.listMembers(),
            appendClaims: (claims, onConfirmed) => ownEntry.appendClaims(claims, onConfirmed),
            onChange: options.onChange,
        });
        this.directory = new StreamDirectory({
            readTime,
            timers,
            listHolders: () => coordinators().listStreamHolders().filter(holder => holder !== vm),
            listPeers: () => peers().listConnected(),
            listKnown: () => peers().isMesh ? peers().listKnown() : undefined,
            send: (to, message) => peers().send(to, message),
            sendToAll: (vms, message) => peers().sendToAll(vms, message),
            findClaims: () => this.claims.findAll(),
        });
        const history = new StreamHistoryReader(store);
        this.resolver = new StreamResolver({
            vm,
            directory: this.directory,
            findClaims: () => this.claims.findAll(),
            listOtherVms: () => peers().listKnown(),
            readHistory: () => history.read(),
            log,
            readTime,
            onResolved: options.onResolved,
        });
        this.recorder = new StreamRecorder({
            store,
            timers,
            readTime,
            isRecorder: () => coordinators().listStreamHolders().sort()[0] === vm,
            listAmbiguousServices: () => this.claims.listAmbiguousServices(),
            listRecords: learnedSince => this.directory.list(learnedSince),
        });
    }

    start(): void {
        this.recording = this.recorder.start();
    }

    stop(): void {
        this.recording?.cancel();
    }

    update(): void {
        this.claims.update();
        this.directory.update();
    }

    private hasStreams(service: string): boolean {
        const { routes } = this.options.cluster;
        if (routes !== this.routes) {
            this.routes = routes;
            const streamRoutes = routes?.routing.routes.filter(({ kind }) => kind === "stream") ?? [];
            this.streamServices = new Set(streamRoutes.flatMap(({ targets }) => targets.map(target => target.service)));
        }
        return this.streamServices.has(service);
    }
}
