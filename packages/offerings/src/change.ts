import { formatCanonical } from "./digest.js";
import type { Change, Entry, EntryKey, Offerings } from "./schema.js";
import type { OfferingsState } from "./state.js";

/** Every entry of offerings as operators write them. */
export function listOfferingsEntries(offerings: Offerings): Entry[] {
    const entries: Entry[] = [];
    for (const [name, value] of Object.entries(offerings.customers)) {
        entries.push({ section: "customers", name, value });
    }
    for (const [name, value] of Object.entries(offerings.adapters)) {
        entries.push({ section: "adapters", name, value });
    }
    for (const [name, value] of Object.entries(offerings.services)) {
        entries.push({ section: "services", name, value });
    }
    entries.push({ section: "policy", name: "policy", value: offerings.policy });
    return entries;
}

/** What has to change so that `state` becomes `wanted`. */
export function createChange(state: OfferingsState, wanted: Offerings): Change {
    const present = new Map<string, string>();
    for (const entry of state.listEntries()) {
        present.set(`${entry.section}/${entry.name}`, formatCanonical(entry.value));
    }
    const set: Entry[] = [];
    for (const entry of listOfferingsEntries(wanted)) {
        const path = `${entry.section}/${entry.name}`;
        if (present.get(path) !== formatCanonical(entry.value)) {
            set.push(entry);
        }
        present.delete(path);
    }
    const remove: EntryKey[] = [];
    for (const path of present.keys()) {
        const separator = path.indexOf("/");
        const section = path.slice(0, separator) as Entry["section"];
        if (section !== "policy") {
            remove.push({ section, name: path.slice(separator + 1) });
        }
    }
    return { set, remove };
}

/** One mistake in offerings that no schema can find. */
export interface OfferingsMistake {
    /** Dotted path of the value, as in a schema's mistake. */
    readonly path: string[];
    readonly message: string;
}

/** Finds references to what does not exist, and API keys that two customers share. */
export function checkOfferings(offerings: Offerings): OfferingsMistake[] {
    const mistakes: OfferingsMistake[] = [];
    const ownerByDigest = new Map<string, string>();
    for (const [name, customer] of Object.entries(offerings.customers)) {
        customer.adapters.forEach((pattern, index) => {
            if (!pattern.endsWith("*") && offerings.adapters[pattern] === undefined) {
                mistakes.push({
                    path: ["customers", name, "adapters", String(index)],
                    message: `adapter "${pattern}" does not exist`,
                });
            }
        });
        customer.services.forEach((service, index) => {
            if (offerings.services[service] === undefined) {
                mistakes.push({
                    path: ["customers", name, "services", String(index)],
                    message: `service "${service}" does not exist`,
                });
            }
        });
        customer.keyDigests.forEach((digest, index) => {
            const owner = ownerByDigest.get(digest);
            if (owner !== undefined) {
                const path = ["customers", name, "keyDigests", String(index)];
                mistakes.push({ path, message: `the same key belongs to customer "${owner}"; give each its own` });
            }
            ownerByDigest.set(digest, name);
        });
    }
    return mistakes;
}
