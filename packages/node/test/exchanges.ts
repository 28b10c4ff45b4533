import type { UpstreamConnection } from "../src/requests/connections.js";
import { Exchange, type ExchangeOptions, type ExchangeReceiver } from "../src/requests/exchange.js";

/** Options of {@link startExchange}. */
export interface StartedExchangeOptions
    extends Partial<Pick<ExchangeOptions, "method" | "path" | "body" | "checkWanted">> {
    readonly connection: UpstreamConnection;
    /** What the test listens to. */
    readonly receiver: Partial<ExchangeReceiver>;
}

/** Starts an exchange. @default a GET request for `/` */
export function startExchange(options: StartedExchangeOptions): Exchange {
    const { connection, receiver, method = "GET", path = "/", body, checkWanted } = options;
    const ignored: ExchangeReceiver = {
        receiveHead: () => {},
        receiveData: () => {},
        receiveEnd: () => {},
        receiveBreak: () => {},
    };
    const exchange = new Exchange({
        connection,
        method,
        path,
        headers: [],
        body,
        checkWanted,
        receiver: { ...ignored, ...receiver },
    });
    exchange.start();
    return exchange;
}
