import { err, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import type { z } from "zod";
import { type FileMistake, formatMistake, parseJsonc } from "./parse.js";

/** Reads and validates a file of JSON with comments. A file that cannot be read is reported as a mistake at 1:1. */
export async function readJsonc<Schema extends z.ZodType>(
    file: string,
    schema: Schema,
): Promise<Result<z.output<Schema>, FileMistake[]>> {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        return err([{ file, line: 1, column: 1, path: "", message: `cannot be read: ${(error as Error).message}` }]);
    }
    return parseJsonc(file, text, schema);
}

/** Reads a program's settings. If they have mistakes, prints all of them to standard error and exits with status 2. */
export async function loadSettings<Schema extends z.ZodType>(file: string, schema: Schema): Promise<z.output<Schema>> {
    const settings = await readJsonc(file, schema);
    if (settings.isOk()) {
        return settings.value;
    }
    for (const mistake of settings.error) {
        process.stderr.write(formatMistake(mistake) + "\n");
    }
    process.exit(2);
}
