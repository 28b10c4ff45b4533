import { checkOfferings, type Offerings, offeringsSchema } from "@radishreel/offerings";
import { type FileMistake, readJsonc } from "@radishreel/settings";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { readdir, stat } from "node:fs/promises";
import path from "node:path";

const extensions = [".json", ".jsonc"];

async function listFiles(target: string): Promise<string[]> {
    if (!(await stat(target)).isDirectory()) {
        return [target];
    }
    const names = await readdir(target);
    return names.filter(name => extensions.includes(path.extname(name))).sort().map(name => path.join(target, name));
}

function createMistake(file: string, where: string, message: string): FileMistake {
    return { file, line: 1, column: 1, path: where, message };
}

/**
 * Reads files and directories of offerings and merges their contents.
 * @returns The merged offerings, or all mistakes of all files.
 */
export async function readOfferings(targets: readonly string[]): Promise<Result<Offerings, FileMistake[]>> {
    const mistakes: FileMistake[] = [];
    const merged = { customers: {}, adapters: {}, services: {} } as Offerings;
    let policyFile: string | undefined;
    for (const target of targets) {
        let files: string[];
        try {
            files = await listFiles(target);
        }
        catch (error) {
            mistakes.push(createMistake(target, "", `cannot be read: ${(error as Error).message}`));
            continue;
        }
        for (const file of files) {
            const read = await readJsonc(file, offeringsFileSchema);
            if (read.isErr()) {
                mistakes.push(...read.error);
                continue;
            }
            mergeSections(file, read.value, merged, mistakes);
            if (read.value.policy !== undefined && policyFile !== undefined) {
                mistakes.push(
                    createMistake(file, "policy", `the policy is already defined in ${policyFile}; define it once`),
                );
            }
            policyFile = read.value.policy === undefined ? policyFile : file;
            merged.policy = read.value.policy ?? merged.policy;
        }
    }
    const offerings = offeringsSchema.parse(merged);
    const target = targets.join(" ");
    mistakes.push(
        ...checkOfferings(offerings).map(mistake => createMistake(target, mistake.path.join("."), mistake.message)),
    );
    return mistakes.length === 0 ? ok(offerings) : err(mistakes);
}

/** A file may hold any part of the offerings. The policy has no default here, so that a missing one is recognised. */
const offeringsFileSchema = offeringsSchema.extend({ policy: offeringsSchema.shape.policy.unwrap().optional() });

type OfferingsPart = Omit<Offerings, "policy"> & { policy?: Offerings["policy"]; };

function mergeSections(file: string, part: OfferingsPart, merged: Offerings, mistakes: FileMistake[]): void {
    for (const section of ["customers", "adapters", "services"] as const) {
        for (const [name, value] of Object.entries(part[section])) {
            if (merged[section][name] !== undefined) {
                mistakes.push(
                    createMistake(file, `${section}.${name}`, "also defined in another file; define it once"),
                );
            }
            setEntry(merged[section], name, value);
        }
    }
}

function setEntry<Value>(section: Record<string, Value>, name: string, value: Value): void {
    section[name] = value;
}
