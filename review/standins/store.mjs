/**
 * Stand-in for the platform's store: a log with keyed topics and consumer groups, as PROTOCOL.md describes it. It runs
 * in the process of the script, so that a script can write as the operator, as a worker or as another writer would.
 */
import { createServer } from "node:http";

const partsPerTopic = 12;

/** Frames one record of a keyed topic. */
function encodeRecord({ key, value }) {
    const name = Buffer.from(key);
    const content = Buffer.concat([Buffer.from([name.length]), name, value ?? Buffer.alloc(0)]);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length);
    return Buffer.concat([length, content]);
}

/** Splits the body of an append into records. */
function decodeRecords(bytes) {
    const records = [];
    for (let at = 0; at + 4 <= bytes.length;) {
        const length = bytes.readUInt32BE(at);
        const content = bytes.subarray(at + 4, at + 4 + length);
        const keyLength = content[0];
        const value = content.subarray(1 + keyLength);
        records.push({
            key: content.subarray(1, 1 + keyLength).toString(),
            value: value.length === 0 ? undefined : value,
        });
        at += 4 + length;
    }
    return records;
}

async function readBody(request) {
    const chunks = [];
    for await (const chunk of request) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/** One consumer group: its members, and who holds which partition. */
class Group {
    generation = 0;
    members = new Map();
    holders = new Map();
    targets = new Map();
    /** Generation in which a partition was taken from its holder. */
    movedIn = new Map();

    constructor(topic) {
        this.topic = topic;
    }

    join(member, ttlMs, generation, now) {
        this.expire(now);
        if (!this.members.has(member)) {
            this.members.set(member, now + ttlMs);
            this.assign();
        }
        this.members.set(member, now + ttlMs);
        for (let part = 0; part < partsPerTopic; part++) {
            if (this.holders.get(part) === member && this.targets.get(part) !== member) {
                if (generation >= this.movedIn.get(part)) {
                    this.settle(part);
                }
            }
        }
        const parts = [...this.holders].filter(([part, holder]) =>
            holder === member
            && this.targets.get(part) === member
        );
        return { generation: this.generation, "ttl-ms": ttlMs, parts: parts.map(([part]) => [this.topic, part, 0]) };
    }

    leave(member) {
        if (this.members.delete(member)) {
            this.assign();
            this.releaseHolder(member);
        }
    }

    expire(now) {
        for (const [member, until] of this.members) {
            if (until <= now) {
                this.members.delete(member);
                this.assign();
                this.releaseHolder(member);
            }
        }
    }

    releaseHolder(member) {
        for (const [part, holder] of this.holders) {
            if (holder === member) {
                this.settle(part);
            }
        }
    }

    /** Gives a partition to the member to which it is assigned; that changes what the member holds. */
    settle(part) {
        const target = this.targets.get(part);
        if (target === undefined) {
            this.holders.delete(part);
        }
        else {
            this.holders.set(part, target);
        }
        this.generation += 1;
    }

    assign() {
        this.generation += 1;
        const names = [...this.members.keys()].sort();
        for (let part = 0; part < partsPerTopic; part++) {
            const target = names[part % names.length];
            if (this.targets.get(part) !== target) {
                this.movedIn.set(part, this.generation);
            }
            if (target === undefined) {
                this.targets.delete(part);
            }
            else {
                this.targets.set(part, target);
            }
            if (!this.holders.has(part) && target !== undefined) {
                this.holders.set(part, target);
            }
        }
    }
}

/** The store. */
export class Store {
    topics = new Map();
    groups = new Map();
    waiters = new Set();
    /** Called before each call; a returned function handles the call instead. */
    intercept = () => undefined;
    server = createServer((request, response) => void this.receive(request, response));

    async start(host, port = 0) {
        this.server.keepAliveTimeout = 60_000;
        await new Promise(resolve => this.server.listen(port, host, resolve));
        this.address = `${host}:${this.server.address().port}`;
    }

    stop() {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Appends a record; `undefined` drops the key. */
    put(topic, key, value) {
        this.append(topic, [{ key, value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)) }]);
    }

    /** Reads the newest value of a key. */
    find(topic, key) {
        const value = this.topics.get(topic)?.findLast(record => record.key === key)?.value;
        return value === undefined ? undefined : JSON.parse(value.toString());
    }

    append(topic, added) {
        const records = this.topics.get(topic) ?? [];
        const offset = records.length;
        records.push(...added);
        this.topics.set(topic, records);
        for (const waiter of [...this.waiters]) {
            if (waiter.topic === topic) {
                waiter.finish();
            }
        }
        return offset;
    }

    async receive(request, response) {
        let body;
        try {
            body = await readBody(request);
        }
        catch {
            return;
        }
        const url = new URL(request.url, "http://store");
        const handled = this.intercept({ url, request, response, body, run: () => this.run(url, body, response) });
        if (handled === undefined) {
            this.run(url, body, response);
        }
    }

    run(url, body, response) {
        const topic = url.searchParams.get("topic") ?? "";
        const send = (status, value) =>
            response.writeHead(status, { "content-type": "application/json" })
                .end(JSON.stringify(value));
        switch (url.pathname) {
            case "/v1/log-append": {
                if (topic === "keyed.op" || topic === "keyed.servers") {
                    send(403, {});
                    return;
                }
                const added = decodeRecords(body);
                const offset = this.append(topic, added);
                send(200, { offset, end: offset + added.length });
                return;
            }
            case "/v1/log-newest":
                this.sendNewest(topic, url.searchParams.get("after"), send);
                return;
            case "/v1/log-read":
                this.read(
                    topic,
                    Number(url.searchParams.get("from")),
                    Number(url.searchParams.get("wait-ms")),
                    response,
                );
                return;
            case "/v1/log-join": {
                const { group, member, topics, generation, "ttl-ms": ttlMs } = JSON.parse(body.toString());
                const found = this.groups.get(group) ?? new Group(topics[0]);
                this.groups.set(group, found);
                send(200, found.join(member, ttlMs, generation, Date.now()));
                return;
            }
            case "/v1/log-leave": {
                const { group, member } = JSON.parse(body.toString());
                this.groups.get(group)?.leave(member);
                send(200, {});
                return;
            }
            default:
                send(404, {});
        }
    }

    sendNewest(topic, after, send) {
        const newest = new Map();
        const records = this.topics.get(topic) ?? [];
        for (const [offset, { key, value }] of records.entries()) {
            newest.delete(key);
            if (value !== undefined) {
                newest.set(key, { key, value: value.toString("base64"), offset });
            }
        }
        const keys = [...newest.keys()].sort().filter(key => after === null || key > after);
        const items = keys.slice(0, 500).map(key => newest.get(key));
        send(200, { items, "has-more": keys.length > 500, end: records.length });
    }

    read(topic, from, waitMs, response) {
        const finish = () => {
            clearTimeout(waiter.timer);
            this.waiters.delete(waiter);
            const records = this.topics.get(topic) ?? [];
            const head = Buffer.alloc(16);
            head.writeBigUInt64BE(BigInt(records.length), 0);
            response.writeHead(200).end(Buffer.concat([head, ...records.slice(from).map(encodeRecord)]));
        };
        const waiter = { topic, finish, timer: undefined };
        if (from < (this.topics.get(topic)?.length ?? 0) || waitMs === 0) {
            finish();
            return;
        }
        waiter.timer = setTimeout(finish, waitMs);
        this.waiters.add(waiter);
        response.on("close", () => {
            clearTimeout(waiter.timer);
            this.waiters.delete(waiter);
        });
    }
}
