import { formatCanonical } from "./digest.js";
import type { Change, Entry, EntryKey, Offerings } from "./schema.js";
import type { OfferingsState } from "./state.js";

/** Lists every entry of offerings in the form that operators write. */
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

/** The change that turns `state` into `target`. */
export function createChange(state: OfferingsState, target: Offerings): Change {
    const currentTexts = new Map<string, string>();
    for (const entry of state.listEntries()) {
        currentTexts.set(`${entry.section}/${entry.name}`, formatCanonical(entry.value));
    }
    const set: Entry[] = [];
    for (const entry of listOfferingsEntries(target)) {
        const path = `${entry.section}/${entry.name}`;
        if (currentTexts.get(path) !== formatCanonical(entry.value)) {
            set.push(entry);
        }
        currentTexts.delete(path);
    }
    const remove: EntryKey[] = [];
    for (const path of currentTexts.keys()) {
        const separator = path.indexOf("/");
        const section = path.slice(0, separator) as Entry["section"];
        if (section !== "policy") {
            remove.push({ section, name: path.slice(separator + 1) });
        }
    }
    return { set, remove };
}

/** A fault in offerings that the schema cannot detect. */
export interface OfferingsIssue {
    /** Segments of the path to the value, as in a schema issue. */
    readonly path: string[];
    readonly message: string;
}

/** Finds references to adapters and services that do not exist, and API keys that two client accounts share. */
export function checkOfferings(offerings: Offerings): OfferingsIssue[] {
    const issues: OfferingsIssue[] = [];
    const ownerByDigest = new Map<string, string>();
    for (const [name, account] of Object.entries(offerings.customers)) {
        account.adapters.forEach((pattern, index) => {
            if (!pattern.endsWith("*") && offerings.adapters[pattern] === undefined) {
                issues.push({
                    path: ["customers", name, "adapters", String(index)],
                    message: `adapter "${pattern}" does not exist`,
                });
            }
        });
        account.services.forEach((service, index) => {
            if (offerings.services[service] === undefined) {
                issues.push({
                    path: ["customers", name, "services", String(index)],
                    message: `service "${service}" does not exist`,
                });
            }
        });
        account.keyDigests.forEach((digest, index) => {
            const owner = ownerByDigest.get(digest);
            if (owner !== undefined) {
                const path = ["customers", name, "keyDigests", String(index)];
                issues.push({ path, message: `the same key belongs to customer "${owner}"; give each its own` });
            }
            ownerByDigest.set(digest, name);
        });
    }
    return issues;
}
