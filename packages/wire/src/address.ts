/** Host and port of a listener. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** Splits `host:port` at its last colon. */
export function parseAddress(address: string): ListenAddress {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

/** A name or an IPv4 address, and a port. */
const addressPattern = /^[\w.-]+:(\d{1,5})$/;

/** Highest TCP port. */
const maxPort = 65_535;

/** Whether a text is an address `host:port` to which a connection may be opened: Node.js throws for some others. */
export function isAddress(text: string): boolean {
    const port = Number(addressPattern.exec(text)?.[1] ?? 0);
    return port >= 1 && port <= maxPort && URL.canParse(`http://${text}`);
}
