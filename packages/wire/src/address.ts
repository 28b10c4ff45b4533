/** Where something listens. */
export interface ListenAddress {
    readonly host: string;
    readonly port: number;
}

/** Splits `host:port`. */
export function parseAddress(address: string): ListenAddress {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
