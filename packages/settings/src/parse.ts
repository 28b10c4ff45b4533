import { findNodeAtLocation, type Node, type ParseError, parseTree, printParseErrorCode } from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";

/** A mistake in a file, with its position. Lines and columns are numbered from 1. */
export interface FileMistake {
    readonly file: string;
    readonly line: number;
    readonly column: number;
    /** Dotted path of the invalid value; empty for the whole file. */
    readonly path: string;
    readonly message: string;
}

/** Finds the node at `path`, or its nearest ancestor if no such node exists. */
function findNearestNode(root: Node, path: readonly PropertyKey[]): Node {
    for (let length = path.length; length > 0; length--) {
        const segments = path.slice(0, length).filter(part => typeof part !== "symbol");
        const node = findNodeAtLocation(root, segments);
        if (node !== undefined) {
            return node;
        }
    }
    return root;
}

function createMistake(file: string, text: string, offset: number, path: string, message: string): FileMistake {
    const linesBefore = text.slice(0, offset).split("\n");
    return { file, line: linesBefore.length, column: (linesBefore.at(-1) ?? "").length + 1, path, message };
}

/** Converts a node to a plain value and collects duplicate keys; jsonc-parser's `getNodeValue` does not report them. */
function readValue(node: Node, duplicates: Node[]): unknown {
    if (node.type === "array") {
        return (node.children ?? []).map(child => readValue(child, duplicates));
    }
    if (node.type !== "object") {
        return node.value;
    }
    const value = new Map<string, unknown>();
    for (const property of node.children ?? []) {
        const [key, child] = property.children ?? [];
        if (key === undefined || child === undefined) {
            continue;
        }
        if (value.has(key.value as string)) {
            duplicates.push(key);
        }
        value.set(key.value as string, readValue(child, duplicates));
    }
    return Object.fromEntries(value);
}

/**
 * Parses JSON with comments and validates it against `schema`.
 * @param file File name for the mistakes.
 * @returns The validated value, or all mistakes found, each with its line and column.
 */
export function parseJsonc<Schema extends z.ZodType>(
    file: string,
    text: string,
    schema: Schema,
): Result<z.output<Schema>, FileMistake[]> {
    const errors: ParseError[] = [];
    const root = parseTree(text, errors, { allowTrailingComma: true, disallowComments: false });
    if (errors.length > 0 || root === undefined) {
        const mistakes = errors.map(error =>
            createMistake(
                file,
                text,
                error.offset,
                "",
                `not valid JSON with comments: ${printParseErrorCode(error.error)}`,
            )
        );
        return err(
            mistakes.length > 0
                ? mistakes
                : [createMistake(file, text, 0, "", "the file is empty; expected an object")],
        );
    }
    const duplicates: Node[] = [];
    const value = readValue(root, duplicates);
    if (duplicates.length > 0) {
        return err(
            duplicates.map(key =>
                createMistake(
                    file,
                    text,
                    key.offset,
                    String(key.value),
                    `"${String(key.value)}" is given twice; remove one`,
                )
            ),
        );
    }
    const checked = schema.safeParse(value);
    if (checked.success) {
        return ok(checked.data);
    }
    return err(
        checked.error.issues.map(issue =>
            createMistake(
                file,
                text,
                findNearestNode(root, issue.path).offset,
                issue.path.map(String).join("."),
                issue.message,
            )
        ),
    );
}

/** Formats a mistake as one line of text: `file:line:column: path: message`. */
export function formatMistake(mistake: FileMistake): string {
    const path = mistake.path === "" ? "" : `${mistake.path}: `;
    return `${mistake.file}:${mistake.line}:${mistake.column}: ${path}${mistake.message}`;
}
