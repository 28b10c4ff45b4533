import { AccountTable } from "./accounts.js";
import type { Route, Routing, Service } from "./types.js";

/** Finds the route of a request: the route of its host with the longest matching path prefix. */
export class RouteTable {
    private readonly routesByHost = new Map<string, Route[]>();
    private readonly services = new Map<string, Service>();
    /** Undefined if callers need no key. */
    readonly accounts: AccountTable | undefined;

    constructor(readonly routing: Routing) {
        this.accounts = routing.accounts === undefined ? undefined : new AccountTable(routing.accounts);
        for (const route of routing.routes) {
            const routes = this.routesByHost.get(route.host) ?? [];
            routes.push(route);
            this.routesByHost.set(route.host, routes);
        }
        for (const routes of this.routesByHost.values()) {
            routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
        }
        for (const service of routing.services) {
            this.services.set(service.name, service);
        }
    }

    /** @param host The `Host` header as sent. @param path The request target, with or without a query. */
    findRoute(host: string, path: string): Route | undefined {
        const routes = this.routesByHost.get(parseHostName(host));
        const queryAt = path.indexOf("?");
        const pathname = queryAt < 0 ? path : path.slice(0, queryAt);
        return routes?.find(route => pathname.startsWith(route.pathPrefix));
    }

    findService(name: string): Service | undefined {
        return this.services.get(name);
    }
}

/** Parses the host name from a `Host` header: lower case, without the port. */
export function parseHostName(host: string): string {
    const portAt = host.lastIndexOf(":");
    return (portAt < 0 ? host : host.slice(0, portAt)).toLowerCase();
}

/**
 * Chooses the service of a request from the targets of its route, in proportion to their weights.
 * @param share A number from 0 to 1, uniformly distributed over requests.
 */
export function chooseTarget(route: Route, share: number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = share * total;
    for (const target of route.targets) {
        remaining -= target.weight;
        if (remaining < 0) {
            return target.service;
        }
    }
    return route.targets[0]!.service;
}
