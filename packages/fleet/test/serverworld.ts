import type { Service } from "@radishreel/routing";
import { chooseServer, FleetView } from "../src/index.js";
import { createUpstream } from "./simulatedengine.js";
import { Agenda, Slowdowns } from "./speedworld.js";
import { createRandom } from "./workload.js";

/** Slots of a server, time of one call at speed 1, and the latency target of calls, in milliseconds. */
const slots = 6;
const workMs = 30;
const targetMs = 199;

/** Response time that a VM expects of a call with this target, in milliseconds. */
const expectedMs = targetMs / 4;

const service: Service = { name: "plain", maxConnections: 100 };

/** Calls to plain servers of unequal speed. */
export interface ServerLoad {
    readonly seed: number;
    readonly speeds: readonly number[];
    readonly vms: number;
    readonly callsPerSecond: number;
    readonly lengthMs: number;
    /** Calls that arrive before this time are not counted. */
    readonly warmUpMs: number;
    readonly chooser: "learned" | "constant" | "oracle";
}

/** Share of calls within their target, and shares of calls by server. */
export interface ServerResult {
    readonly withinTarget: number;
    readonly shares: readonly number[];
    /** Servers of the calls, in the order of sending. */
    readonly sends: readonly number[];
}

/** A server that runs calls in slots, in the order of arrival. */
class SlotServer {
    private readonly freeAt: number[] = Array.from({ length: slots }, () => 0);

    constructor(private readonly speed: number, private readonly slowdowns: Slowdowns) {}

    readEnd(now: number): number {
        return this.slowdowns.readEnd(Math.max(now, Math.min(...this.freeAt)), workMs / this.speed);
    }

    run(now: number): number {
        const end = this.readEnd(now);
        this.freeAt[this.freeAt.indexOf(Math.min(...this.freeAt))] = end;
        return end;
    }
}

/** Runs calls of several VMs, each of which learns the speeds of the servers from its own calls. */
export function runServers(load: ServerLoad): ServerResult {
    const random = createRandom(load.seed);
    const agenda = new Agenda();
    const servers = load.speeds.map(speed => new SlotServer(speed, new Slowdowns(random, load.lengthMs + 5000, 0.15)));
    const views = Array.from({ length: load.vms }, (_, index) => {
        const features = { hasLearnedSpeeds: load.chooser === "learned" };
        const view = new FleetView({ vm: `vm${index}`, features });
        servers.forEach((_server, server) =>
            view.updateUpstream({ ...createUpstream(`s${server}`), service: "plain", slots }, 0)
        );
        return view;
    });
    const sends: number[] = [];
    let [counted, withinTarget] = [0, 0];
    for (let now = 0; now < load.lengthMs; now += -Math.log(1 - random()) / load.callsPerSecond * 1000) {
        agenda.advance(now);
        const view = views[Math.floor(random() * views.length)]!;
        const ends = servers.map(server => server.readEnd(now));
        const choice = chooseServer({ view, service, dataCentre: "z", now, penalties: new Map() })!;
        const chosen = load.chooser === "oracle"
            ? ends.indexOf(Math.min(...ends))
            : Number(choice.state.upstream.id.slice(1));
        const end = servers[chosen]!.run(now);
        sends.push(chosen);
        const { state } = choice;
        if (load.chooser !== "oracle") {
            const own = view.addOwnLoad({
                upstream: state.upstream.id,
                backlogTokens: 0,
                kvTokens: 0,
                hasLongAnswer: false,
            }, now);
            agenda.add(end, at => {
                own.finish();
                const slowdown = view.recordServerResponse(state.upstream, at - now, expectedMs, at);
                state.health.recordResponse(at, slowdown, now);
            });
        }
        if (now >= load.warmUpMs) {
            counted += 1;
            withinTarget += end - now <= targetMs ? 1 : 0;
        }
    }
    const shares = servers.map((_, index) => sends.filter(sent => sent === index).length / sends.length);
    return { withinTarget: withinTarget / counted, shares, sends };
}
