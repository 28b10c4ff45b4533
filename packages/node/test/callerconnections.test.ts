/** Guards against requests that are served on a connection that can carry no response any more. */
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CallerExchange } from "../src/requests/caller.js";
import { CallerConnections } from "../src/requests/callerconnections.js";

/** A connection whose state the test sets. */
class FakeSocket extends EventEmitter {
    writable = true;
    bytesRead = 0;
    wasClosed = false;

    constructor() {
        super();
        Object.assign(this, { destroySoon: () => this.wasClosed = true });
    }
}

/** Connections whose clock the test sets, and one of them, with the names of the requests that were served. */
class ConnectionTest {
    now = 0;
    readonly socket = new FakeSocket();
    waitingBytes = 0;
    readonly connections = new CallerConnections(() => this.now, () => this.waitingBytes);
    readonly served: string[] = [];
    readonly left: string[] = [];
    private readonly finishers = new Map<string, () => void>();

    constructor() {
        this.connections.add(this.socket as unknown as Socket);
    }

    receive(name: string): void {
        this.socket.bytesRead += 100;
        const caller = {
            request: { socket: this.socket },
            onClosed: (listener: () => void) => this.finishers.set(name, listener),
            receiveDeparture: () => this.left.push(name),
        };
        this.connections.receive(caller as unknown as CallerExchange, () => this.served.push(name));
    }

    /** Ends the response to a request. */
    finish(name: string): void {
        this.finishers.get(name)!();
    }
}

test("a request is served once the responses before it on its connection are complete", () => {
    const connection = new ConnectionTest();
    ["a", "b", "c"].forEach(name => connection.receive(name));
    assert.equal(connection.served, ["a"]);
    connection.finish("a");
    connection.finish("b");
    assert.equal(connection.served, ["a", "b", "c"]);
});

test("a request that arrives while its connection is being closed is not served", () => {
    const connection = new ConnectionTest();
    connection.receive("a");
    connection.socket.writable = false;
    connection.finish("a");
    connection.receive("b");
    assert.equal(connection.served, ["a"]);
});

test("a request that waits for a response which closes the connection is not served", () => {
    const connection = new ConnectionTest();
    ["a", "b"].forEach(name => connection.receive(name));
    connection.socket.writable = false;
    connection.finish("a");
    assert.equal(connection.served, ["a"]);
});

for (const event of ["end", "error"]) {
    test(`requests of a connection that has its ${event} are not served any more, before it is closed`, () => {
        const connection = new ConnectionTest();
        ["a", "b"].forEach(name => connection.receive(name));
        connection.socket.emit(event);
        assert.equal(connection.left, ["a", "b"]);
    });
}

test("only a connection that has carried nothing for the whole time is closed", () => {
    const connection = new ConnectionTest();
    connection.receive("a");
    connection.now = 1000;
    assert.is(connection.connections.closeIdle(200), true);
    connection.finish("a");
    connection.now = 1199;
    assert.is(connection.connections.closeIdle(200), true);
    // The beginning of a request has arrived.
    connection.socket.bytesRead += 1;
    connection.now = 1300;
    connection.connections.closeIdle(200);
    assert.is(connection.socket.wasClosed, false);
    connection.receive("b");
    connection.finish("b");
    connection.now = 1500;
    assert.is(connection.connections.closeIdle(200), true);
    assert.is(connection.socket.wasClosed, true);
});

test("a connection with a request that was read and not parsed yet is not closed as idle", () => {
    const connection = new ConnectionTest();
    connection.waitingBytes = 100;
    connection.now = 1000;
    assert.is(connection.connections.closeIdle(200), true);
    assert.is(connection.socket.wasClosed, false);
    connection.waitingBytes = 0;
    connection.connections.closeIdle(200);
    assert.is(connection.socket.wasClosed, true);
});

test.run();
