import type { DirectPaths, RelayCandidate, Relays } from "@radishreel/fleet";
import { parseAddress } from "@radishreel/wire";
import { request as openRequest } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { errors } from "undici";
import type { ConnectTarget, OpenedConnection, UpstreamConnector } from "./connector.js";
import { createAuthorization, tunnelStatus, upstreamHeader } from "./tunnelserver.js";

/** Maximum wait for a tunnel, in milliseconds: a VM that can connect to the upstream replies within some milliseconds. */
const tunnelTimeoutMs = 250;

/** Maximum number of VMs that are asked to carry one connection. */
const maxRelays = 6;

/** Number of VMs to which an upstream refuses connections before no further VM is asked: one may be cut off itself. */
const maxRefusals = 2;

/** A VM that may carry connections, and the address at which it does. */
export interface TunnelRelay extends RelayCandidate {
    /** `host:port`. */
    readonly address: string;
}

/** Options of {@link TunnelConnector}. */
export interface TunnelConnectorOptions {
    /** Shared by all VMs of one deployment. */
    readonly secret: string;
    readonly paths: DirectPaths;
    readonly relays: Relays;
    /** Opens direct connections, and records their ends in `paths`. */
    readonly direct: UpstreamConnector;
    /** Lists the linked VMs that are not stopping. */
    readonly listRelays: () => readonly TunnelRelay[];
    readonly countUpstreams: () => number;
    readonly readTime: () => number;
    /** Called when a connection through another VM has opened. */
    readonly onTunnel: (target: ConnectTarget, via: string) => void;
}

/** No connection could be opened, neither directly nor through another VM. */
export class NoPathError extends Error {
    /** @param isRefused Whether the upstream itself refuses connections, as far as VMs that reach others can tell. */
    constructor(message: string, readonly isRefused: boolean, readonly code: string | undefined) {
        super(message);
    }
}

/** A VM that was asked to carry a connection did not. */
class TunnelError extends Error {
    constructor(readonly vm: string, readonly status: number | undefined) {
        super(`no tunnel through ${vm}: ${status ?? "no reply"}`);
    }
}

/**
 * Opens connections to upstreams directly, or through another VM if that fails. The VM that carries a connection passes
 * on bytes only: what a request may do, and what the end of its attempt proves, is decided here as for a direct one.
 */
export class TunnelConnector implements UpstreamConnector {
    constructor(private readonly options: TunnelConnectorOptions) {}

    mayReuse(target: ConnectTarget, via: string | undefined): boolean {
        const failure = this.options.paths.findFailure(target.upstream);
        // Connections that were open before may live on while new ones are refused, but not while new ones get no reply.
        return via === undefined
            ? failure !== "silent"
            : failure !== undefined && this.options.listRelays().some(({ vm }) => vm === via);
    }

    async open(target: ConnectTarget, signal: AbortSignal): Promise<OpenedConnection> {
        const { paths, relays, direct, listRelays, readTime } = this.options;
        const candidates = listRelays();
        if (candidates.length === 0) {
            return direct.open(target, signal);
        }
        const { triesDirect, tunnelDelayMs } = paths.choose(target.upstream, readTime());
        const attempts: Promise<OpenedConnection>[] = [];
        // While no relay may be asked, an upstream that answers again is reached directly first.
        if (triesDirect || relays.rank(candidates, target.upstream, readTime()).length === 0) {
            attempts.push(direct.open(target, signal));
        }
        const losing = new AbortController();
        const stopTunnel = (): void => losing.abort();
        signal.addEventListener("abort", stopTunnel, { once: true });
        attempts.push(this.openTunnel(target, candidates, losing.signal, tunnelDelayMs, attempts[0]));
        try {
            const winner = await Promise.any(attempts);
            closeOthers(attempts, winner);
            return winner;
        }
        catch (error) {
            const failures = (error as AggregateError).errors as Error[];
            throw createNoPathError(failures, this.hasRefusal(target, candidates, failures));
        }
        finally {
            signal.removeEventListener("abort", stopTunnel);
            stopTunnel();
        }
    }

    /**
     * Whether an upstream that no VM has reached refuses connections. What another VM does not know says nothing, and
     * hides no refusal: neither of this VM nor of a third one.
     */
    private hasRefusal(
        { upstream }: ConnectTarget,
        candidates: readonly TunnelRelay[],
        failures: readonly Error[],
    ): boolean {
        const { paths, relays, countUpstreams, readTime } = this.options;
        if (failures.some(failure => failure instanceof TunnelError && failure.status === tunnelStatus.refused)) {
            return true;
        }
        const direct = failures.find(failure => !(failure instanceof TunnelError));
        const isRefusedHere = direct === undefined
            ? paths.findFailure(upstream) === "refused"
            : (direct as NodeJS.ErrnoException).code === "ECONNREFUSED";
        return isRefusedHere && !paths.isCutOff(countUpstreams())
            && !relays.hasUnreached(candidates, upstream, readTime());
    }

    /** Opens a connection through the first VM that can, after a delay or once the direct attempt has failed. */
    private async openTunnel(
        target: ConnectTarget,
        candidates: readonly TunnelRelay[],
        signal: AbortSignal,
        delayMs: number,
        direct: Promise<OpenedConnection> | undefined,
    ): Promise<OpenedConnection> {
        const { relays, readTime, onTunnel } = this.options;
        if (delayMs > 0) {
            await waitForFailure(direct, delayMs, signal);
        }
        const addresses = new Map(candidates.map(({ vm, address }) => [vm, address]));
        let last = new TunnelError("any VM", undefined);
        let refusals = 0;
        for (const vm of relays.rank(candidates, target.upstream, readTime()).slice(0, maxRelays)) {
            try {
                const socket = await this.sendConnect(vm, addresses.get(vm)!, target, signal);
                relays.recordOpened(vm);
                socket.once("close", () => relays.recordClosed(vm));
                onTunnel(target, vm);
                return { socket, via: vm };
            }
            catch (error) {
                if (signal.aborted) {
                    throw error;
                }
                last = error instanceof TunnelError ? error : new TunnelError(vm, undefined);
                refusals += last.status === tunnelStatus.refused ? 1 : 0;
                if (refusals === maxRefusals) {
                    throw last;
                }
                // A VM that does not know or reach this upstream, or finds it to have ended, may carry connections to others.
                if (last.status === tunnelStatus.unreachable) {
                    relays.recordUnreached(vm, target.upstream, readTime());
                }
                else if (last.status !== tunnelStatus.forbidden && last.status !== tunnelStatus.refused) {
                    relays.recordFailed(vm, readTime());
                }
            }
        }
        throw refusals > 0 ? new TunnelError(last.vm, tunnelStatus.refused) : last;
    }

    private sendConnect(vm: string, relay: string, target: ConnectTarget, signal: AbortSignal): Promise<Socket> {
        const { host, port } = parseAddress(relay);
        return new Promise((resolve, reject) => {
            const request = openRequest({
                host,
                port,
                method: "CONNECT",
                path: target.address,
                headers: {
                    "Proxy-Authorization": createAuthorization(this.options.secret),
                    [upstreamHeader]: encodeURIComponent(target.upstream),
                },
                agent: false,
                signal: AbortSignal.any([signal, AbortSignal.timeout(tunnelTimeoutMs)]),
            });
            request.once("connect", (response, socket: Socket) => {
                if (response.statusCode !== tunnelStatus.opened) {
                    socket.destroy();
                    reject(new TunnelError(vm, response.statusCode));
                    return;
                }
                socket.setNoDelay(true);
                resolve(socket);
            });
            request.once("error", error => reject(signal.aborted ? error : new TunnelError(vm, undefined)));
            request.end();
        });
    }
}

/** Waits until a connection has failed, or the time is over. */
async function waitForFailure(
    connection: Promise<OpenedConnection> | undefined,
    ms: number,
    signal: AbortSignal,
): Promise<void> {
    const failed = new Promise<void>(resolve => {
        void connection?.catch(() => resolve());
    });
    await Promise.race([failed, wait(ms, undefined, { signal })]);
}

/** Closes the connections that open after another one was chosen. */
function closeOthers(attempts: readonly Promise<OpenedConnection>[], winner: OpenedConnection): void {
    for (const attempt of attempts) {
        void attempt.then(
            ({ socket }) => {
                if (socket !== winner.socket) {
                    socket.destroy();
                }
            },
            () => {
                // The attempt has failed and opened nothing.
            },
        );
    }
}

function createNoPathError(failures: readonly Error[], isRefused: boolean): NoPathError {
    const tunnel = failures.find(failure => failure instanceof TunnelError);
    const direct = failures.find(failure => !(failure instanceof TunnelError));
    const { code } = (direct ?? {}) as NodeJS.ErrnoException;
    const isTimeout = direct instanceof errors.ConnectTimeoutError;
    const message = [direct?.message, tunnel?.message].filter(part => part !== undefined).join("; ");
    return new NoPathError(message, isRefused, isTimeout ? undefined : code);
}
