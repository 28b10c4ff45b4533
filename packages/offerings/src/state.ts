import { timingSafeEqual } from "node:crypto";
import { EntryDigest } from "./digest.js";
import {
    type Account,
    type Adapter,
    type Change,
    type Entry,
    type EntryKey,
    type Offerings,
    type Policy,
    policySchema,
    type Service,
} from "./schema.js";

const defaultPolicy = policySchema.parse({});

/** A client account with its name. */
export interface NamedAccount extends Account {
    readonly name: string;
}

/** Adapter and version of a model name, `adapter@version`. */
export interface ModelName {
    readonly adapter: string;
    readonly version: string;
}

/** Parses `adapter@version`; undefined if it is not of that form. */
export function parseModelName(model: string): ModelName | undefined {
    const separator = model.indexOf("@");
    if (separator <= 0 || separator === model.length - 1) {
        return undefined;
    }
    return { adapter: model.slice(0, separator), version: model.slice(separator + 1) };
}

function isAllowed(patterns: readonly string[], name: string): boolean {
    return patterns.some(pattern => pattern.endsWith("*") ? name.startsWith(pattern.slice(0, -1)) : pattern === name);
}

/** Offerings in memory. A change costs time in proportion to its own size, not to that of the offerings. */
export class OfferingsState {
    private readonly customers = new Map<string, Account>();
    private readonly adapters = new Map<string, Adapter>();
    private readonly services = new Map<string, Service>();
    private readonly accountByKeyPrefix = new Map<string, string>();
    private entryDigest = new EntryDigest();
    private currentPolicy: Policy | undefined;

    get digest(): string {
        return this.entryDigest.format();
    }

    get policy(): Policy {
        return this.currentPolicy ?? defaultPolicy;
    }

    get size(): { customers: number; adapters: number; services: number; } {
        return { customers: this.customers.size, adapters: this.adapters.size, services: this.services.size };
    }

    /** Digest that the state would have after `change`. Hashes only the entries that the change replaces or sets. */
    readDigestAfter(change: Change): string {
        const digest = new EntryDigest(this.digest);
        for (const entry of this.listReplacedEntries(change)) {
            digest.mergeEntry(entry);
        }
        for (const entry of change.set) {
            digest.mergeEntry(entry);
        }
        return digest.format();
    }

    /** Applies a change, without validation. */
    applyChange(change: Change): void {
        this.entryDigest = new EntryDigest(this.readDigestAfter(change));
        for (const key of change.remove) {
            this.removeEntry(key);
        }
        for (const entry of change.set) {
            this.setEntry(entry);
        }
    }

    /** The client account whose API key has this SHA-256 digest (hexadecimal). */
    findAccount(keyDigest: string): NamedAccount | undefined {
        const name = this.accountByKeyPrefix.get(keyDigest.slice(0, keyPrefixLength));
        const account = name === undefined ? undefined : this.customers.get(name);
        if (name === undefined || account === undefined) {
            return undefined;
        }
        // The index is keyed by a prefix of the digest; the complete digests are compared in constant time.
        const presentedDigest = Buffer.from(keyDigest, "hex");
        const matches = account.keyDigests.some(digest => timingSafeEqual(Buffer.from(digest, "hex"), presentedDigest));
        return matches ? { ...account, name } : undefined;
    }

    findAdapter(name: string): Adapter | undefined {
        return this.adapters.get(name);
    }

    /** The base model of a served model; undefined if the adapter or the version does not exist. */
    findBaseModel(model: ModelName): string | undefined {
        const adapter = this.adapters.get(model.adapter);
        return adapter?.versions.includes(model.version) ? adapter.baseModel : undefined;
    }

    findService(name: string): Service | undefined {
        return this.services.get(name);
    }

    /** Whether the client account may use the adapter. */
    isAdapterAllowed(account: Account, adapter: string): boolean {
        return isAllowed(account.adapters, adapter);
    }

    /** Whether the client account may call the service. */
    isServiceAllowed(account: Account, service: string): boolean {
        return account.services.includes(service);
    }

    /** Every model that the client account may use, as `adapter@version`. */
    listModels(account: Account): string[] {
        const models: string[] = [];
        for (const [name, adapter] of this.adapters) {
            if (isAllowed(account.adapters, name)) {
                models.push(...adapter.versions.map(version => `${name}@${version}`));
            }
        }
        return models;
    }

    /** Every entry. */
    *listEntries(): Generator<Entry> {
        for (const [name, value] of this.customers) {
            yield { section: "customers", name, value };
        }
        for (const [name, value] of this.adapters) {
            yield { section: "adapters", name, value };
        }
        for (const [name, value] of this.services) {
            yield { section: "services", name, value };
        }
        if (this.currentPolicy !== undefined) {
            yield { section: "policy", name: "policy", value: this.currentPolicy };
        }
    }

    /** All offerings in the form that operators write. */
    readOfferings(): Offerings {
        return {
            customers: Object.fromEntries(this.customers),
            adapters: Object.fromEntries(this.adapters),
            services: Object.fromEntries(this.services),
            policy: this.policy,
        };
    }

    private findEntry(key: { section: Entry["section"]; name: string; }): Entry | undefined {
        const { section, name } = key;
        switch (section) {
            case "customers": {
                const value = this.customers.get(name);
                return value && { section, name, value };
            }
            case "adapters": {
                const value = this.adapters.get(name);
                return value && { section, name, value };
            }
            case "services": {
                const value = this.services.get(name);
                return value && { section, name, value };
            }
            case "policy":
                return this.currentPolicy && { section, name: "policy", value: this.currentPolicy };
        }
    }

    private listReplacedEntries(change: Change): Entry[] {
        return [...change.remove, ...change.set].map(key => this.findEntry(key)).filter(entry => entry !== undefined);
    }

    private removeEntry(key: EntryKey): void {
        if (key.section === "customers") {
            this.removeApiKeys(key.name);
        }
        this[key.section].delete(key.name);
    }

    private setEntry(entry: Entry): void {
        switch (entry.section) {
            case "customers":
                this.removeApiKeys(entry.name);
                this.customers.set(entry.name, entry.value);
                for (const digest of entry.value.keyDigests) {
                    this.accountByKeyPrefix.set(digest.slice(0, keyPrefixLength), entry.name);
                }
                return;
            case "adapters":
                this.adapters.set(entry.name, entry.value);
                return;
            case "services":
                this.services.set(entry.name, entry.value);
                return;
            case "policy":
                this.currentPolicy = entry.value;
        }
    }

    private removeApiKeys(account: string): void {
        for (const digest of this.customers.get(account)?.keyDigests ?? []) {
            this.accountByKeyPrefix.delete(digest.slice(0, keyPrefixLength));
        }
    }
}

/** Length of the digest prefix that the API key index uses, in hexadecimal digits. */
const keyPrefixLength = 32;
