// Stand-in for the platform's metadata store: keyed topics and consumer groups, as PROTOCOL.md describes them.
import { createServer } from "node:http";
import { host, listen, readBody } from "./net.mjs";

/** Number of partitions of a topic that a group divides among its members (`platform.parts`). */
const partitionCount = 12;

function encodeRecord(key, value) {
    const name = Buffer.from(key);
    return Buffer.concat([Buffer.from([name.length]), name, value]);
}

function splitRecords(body) {
    const records = [];
    for (let at = 0; at < body.length;) {
        const length = body.readUInt32BE(at);
        records.push(body.subarray(at + 4, at + 4 + length));
        at += 4 + length;
    }
    return records;
}

export class Store {
    topics = new Map();
    readers = new Set();
    groups = new Map();

    async start() {
        this.server = createServer((request, response) => void this.receive(request, response));
        this.server.keepAliveTimeout = 60_000;
        this.address = `${host}:${await listen(this.server)}`;
    }

    /** Writes the newest value of a key, as the operator or a worker does. */
    put(topic, key, value) {
        this.append(topic, [encodeRecord(key, Buffer.from(JSON.stringify(value)))]);
    }

    /** Deletes a key. */
    remove(topic, key) {
        this.append(topic, [encodeRecord(key, Buffer.alloc(0))]);
    }

    find(topic) {
        if (!this.topics.has(topic)) {
            this.topics.set(topic, []);
        }
        return this.topics.get(topic);
    }

    append(topic, records) {
        const stored = this.find(topic);
        const offset = stored.length;
        stored.push(...records);
        for (const reader of [...this.readers].filter(waiting => waiting.topic === topic)) {
            reader.finish();
        }
        return offset;
    }

    async receive(request, response) {
        const body = await readBody(request);
        if (body === undefined) {
            return;
        }
        const url = new URL(request.url, "http://store");
        const topic = url.searchParams.get("topic") ?? "";
        const content = this.run(url, topic, body, response);
        if (content !== undefined) {
            response.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(content));
        }
    }

    /** Executes a call and returns the content of its response; undefined if the call responds by itself. */
    run(url, topic, body, response) {
        switch (url.pathname) {
            case "/v1/log-newest":
                return { items: this.listNewest(topic), "has-more": false, end: this.find(topic).length };
            case "/v1/log-read":
                this.read(
                    topic,
                    Number(url.searchParams.get("from")),
                    Number(url.searchParams.get("wait-ms")),
                    response,
                );
                return undefined;
            case "/v1/log-append":
                return { offset: this.append(topic, splitRecords(body)), end: this.find(topic).length };
            case "/v1/log-join":
                return this.join(JSON.parse(body));
            case "/v1/log-leave":
                return this.leave(JSON.parse(body));
            default:
                response.writeHead(404).end();
                return undefined;
        }
    }

    listNewest(topic) {
        const newest = new Map();
        for (const [offset, record] of this.find(topic).entries()) {
            const key = record.subarray(1, 1 + record[0]).toString();
            const value = record.subarray(1 + record[0]);
            newest.delete(key);
            if (value.length > 0) {
                newest.set(key, { key, value: value.toString("base64"), offset });
            }
        }
        return [...newest.values()];
    }

    read(topic, from, waitMs, response) {
        const stored = this.find(topic);
        if (from > stored.length) {
            response.writeHead(410).end(JSON.stringify({ first: 0 }));
            return;
        }
        const finish = () => {
            clearTimeout(reader.timer);
            this.readers.delete(reader);
            this.sendRecords(stored, from, response);
        };
        const reader = { topic, finish, timer: undefined };
        if (from < stored.length) {
            finish();
            return;
        }
        reader.timer = setTimeout(finish, waitMs);
        this.readers.add(reader);
        response.on("close", () => {
            clearTimeout(reader.timer);
            this.readers.delete(reader);
        });
    }

    /** Sends the end offset, the first retained offset and the records, each with its length. */
    sendRecords(stored, from, response) {
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(stored.length), 0);
        const parts = stored.slice(from).flatMap(record => {
            const length = Buffer.alloc(4);
            length.writeUInt32BE(record.length);
            return [length, record];
        });
        response.writeHead(200).end(Buffer.concat([head, ...parts]));
    }

    join({ group, member, topics: [topic], "ttl-ms": ttlMs }) {
        const joined = this.groups.get(group) ?? { generation: 0, members: [] };
        this.groups.set(group, joined);
        if (!joined.members.includes(member)) {
            joined.members.push(member);
            joined.generation += 1;
        }
        const index = joined.members.indexOf(member);
        const parts = Array.from({ length: partitionCount }, (_, part) => part)
            .filter(part => part % joined.members.length === index)
            .map(part => [topic, part, 0]);
        return { generation: joined.generation, "ttl-ms": ttlMs, parts };
    }

    leave({ group, member }) {
        const joined = this.groups.get(group);
        if (joined?.members.includes(member) === true) {
            joined.members = joined.members.filter(name => name !== member);
            joined.generation += 1;
        }
        return {};
    }
}
