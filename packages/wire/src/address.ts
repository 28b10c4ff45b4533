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
