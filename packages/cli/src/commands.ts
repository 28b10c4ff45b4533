import { type Change, createChange, listOfferingsEntries, type Offerings, OfferingsState } from "@radishreel/offerings";
import { formatMistake } from "@radishreel/settings";
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import type { AgentClient, AgentError, ApplyReport } from "./agent.js";
import { type ExitCode, exitCodes } from "./exit.js";
import { readOfferings } from "./files.js";

/** Output of a command; tests replace it. */
export interface Output {
    /** Prints a result: `value` as JSON, or `text` for people. */
    print(value: unknown, text: string): void;
    /** Prints an error: `value` as JSON, or `text` for people. */
    fail(value: unknown, text: string): void;
}

/** Maximum attempts to send an apply; an attempt is repeated only if no agent gave a usable response. */
const maxApplyAttempts = 3;

/** Reads and validates files. */
export async function runCheck(files: readonly string[], output: Output): Promise<ExitCode> {
    const offerings = await readFiles(files, output);
    if (offerings === undefined) {
        return exitCodes.mistakes;
    }
    const { customers, adapters, services } = offerings;
    const counts = [customers, adapters, services].map(section => Object.keys(section).length);
    output.print(
        { valid: true, customers: counts[0], adapters: counts[1], services: counts[2] },
        `valid: ${counts[0]} customers, ${counts[1]} adapters, ${counts[2]} services`,
    );
    return exitCodes.done;
}

/** Shows what an apply would change. */
export async function runDiff(files: readonly string[], client: AgentClient, output: Output): Promise<ExitCode> {
    const prepared = await prepareChange(files, client, output);
    if (typeof prepared === "number") {
        return prepared;
    }
    const { version, change } = prepared;
    output.print({ version, change }, formatChange(change, version));
    return isEmpty(change) ? exitCodes.done : exitCodes.mistakes;
}

/** Options of {@link runApply}. */
export interface ApplyOptions {
    readonly files: readonly string[];
    /** Id of the apply; a second apply with the same id asks for the outcome of the first. */
    readonly applyId?: string;
    /** Version that the files are based on. @default the version in force */
    readonly base?: number;
}

/** Puts the contents of files in force, all or nothing, and prints which nodes have them. */
export async function runApply(options: ApplyOptions, client: AgentClient, output: Output): Promise<ExitCode> {
    const prepared = await prepareChange(options.files, client, output);
    if (typeof prepared === "number") {
        return prepared;
    }
    const { version, change, digest } = prepared;
    const base = options.base ?? version;
    if (base !== version) {
        output.fail(
            { outcome: "lostRace", version },
            `not in force: version ${version} is in force, the files are based on ${base}; run diff, then apply again`,
        );
        return exitCodes.lostRace;
    }
    if (isEmpty(change)) {
        output.print({ outcome: "unchanged", version }, `no difference from version ${version}, which is in force`);
        return exitCodes.done;
    }
    const applyId = options.applyId ?? randomUUID();
    const report = await sendApply(client, { applyId, base, digest, author: userInfo().username, change });
    return "result" in report ? printReport(report, applyId, output) : printFailure(report, applyId, output);
}

async function sendApply(
    client: AgentClient,
    apply: Parameters<AgentClient["apply"]>[0],
): Promise<ApplyReport | AgentError> {
    let failure: AgentError = { message: "the apply was not sent to any agent", isRefusal: false };
    for (let attempt = 0; attempt < maxApplyAttempts; attempt++) {
        const response = await client.apply(apply);
        if (response.isOk()) {
            return response.value;
        }
        failure = response.error;
        if (failure.isRefusal) {
            return failure;
        }
    }
    return failure;
}

function printFailure(failure: AgentError, applyId: string, output: Output): ExitCode {
    if (failure.isRefusal) {
        output.fail({ outcome: "refused", message: failure.message }, `not in force: ${failure.message}`);
        return exitCodes.notInForce;
    }
    output.fail(
        { outcome: "unknown", applyId, message: failure.message },
        `unknown whether the change is in force: ${failure.message}\nrun apply again with --apply-id ${applyId}`,
    );
    return exitCodes.unknown;
}

function printReport(report: ApplyReport, applyId: string, output: Output): ExitCode {
    const { result, progress, behind } = report;
    switch (result.kind) {
        case "accepted": {
            const progressLines = progress.map(({ dataCentre, nodes, lowestVersion }) =>
                `${dataCentre}: ${nodes} nodes at ${lowestVersion} or later`
            );
            const lines = [`in force: version ${result.version}`, ...progressLines];
            if (behind.length > 0) {
                lines.push(`not yet confirmed by all nodes of: ${behind.join(", ")}`);
            }
            output.print({ outcome: "inForce", version: result.version, progress, behind }, lines.join("\n"));
            return behind.length > 0 ? exitCodes.behind : exitCodes.done;
        }
        case "void":
            output.fail(
                { outcome: "lostRace", reason: result.reason },
                `not in force: another apply came first (${result.reason}); run diff, then apply again`,
            );
            return exitCodes.lostRace;
        case "notInForce":
            output.fail({ outcome: "notInForce", message: result.message }, `not in force: ${result.message}`);
            return exitCodes.notInForce;
        case "unknown":
            output.fail(
                { outcome: "unknown", applyId, message: result.message },
                `unknown whether the change is in force: ${result.message}\nrun apply again with --apply-id ${applyId}`,
            );
            return exitCodes.unknown;
    }
}

/** Prints the version in force and the progress of the nodes of each data centre. */
export async function runStatus(client: AgentClient, output: Output): Promise<ExitCode> {
    const status = await client.readStatus();
    if (status.isErr()) {
        return failUnreachable(status.error, output);
    }
    const { id, dataCentre, version, isKnown, isLogReachable, progress } = status.value;
    const lines = [
        `agent ${id} in ${dataCentre}: ${isKnown ? `version ${version} in force` : "has no offerings"}`,
        `log: ${isLogReachable ? "reachable" : "not reachable"}`,
        ...progress.map(entry =>
            `${entry.dataCentre}: ${entry.nodes} nodes at ${entry.lowestVersion} or later${formatBehind(entry.behind)}`
        ),
    ];
    output.print(status.value, lines.join("\n"));
    return exitCodes.done;
}

/** Prints on which engines a model is and what its next load waits for. */
export async function runExplain(model: string, client: AgentClient, output: Output): Promise<ExitCode> {
    const explanation = await client.explain(model);
    if (explanation.isErr()) {
        return failUnreachable(explanation.error, output);
    }
    output.print(explanation.value, JSON.stringify(explanation.value, undefined, 4));
    return exitCodes.done;
}

/** Takes an upstream out of service: the upstream receives no new work. */
export async function runDrain(upstream: string, client: AgentClient, output: Output): Promise<ExitCode> {
    const response = await client.drain(upstream);
    if (response.isErr()) {
        return failUnreachable(response.error, output);
    }
    output.print(response.value, `${upstream} is leaving and receives no new work`);
    return exitCodes.done;
}

interface PreparedChange {
    readonly version: number;
    readonly change: Change;
    readonly digest: string;
}

async function prepareChange(
    files: readonly string[],
    client: AgentClient,
    output: Output,
): Promise<PreparedChange | ExitCode> {
    const offerings = await readFiles(files, output);
    if (offerings === undefined) {
        return exitCodes.mistakes;
    }
    const inForce = await client.readOfferings();
    if (inForce.isErr()) {
        return failUnreachable(inForce.error, output);
    }
    const state = createState(inForce.value.offerings, inForce.value.version);
    const change = createChange(state, offerings);
    return { version: inForce.value.version, change, digest: state.readDigestAfter(change) };
}

/** Creates the state in force; before the first apply it is empty and has no policy. */
function createState(offerings: Offerings, version: number): OfferingsState {
    const state = new OfferingsState();
    if (version >= 0) {
        state.applyChange({ set: listOfferingsEntries(offerings), remove: [] });
    }
    return state;
}

async function readFiles(files: readonly string[], output: Output): Promise<Offerings | undefined> {
    const offerings = await readOfferings(files);
    if (offerings.isOk()) {
        return offerings.value;
    }
    output.fail({ valid: false, mistakes: offerings.error }, offerings.error.map(formatMistake).join("\n"));
    return undefined;
}

function failUnreachable(error: AgentError, output: Output): ExitCode {
    output.fail({ outcome: "unreachable", message: error.message }, error.message);
    return exitCodes.unreachable;
}

function isEmpty(change: Change): boolean {
    return change.set.length === 0 && change.remove.length === 0;
}

function formatChange(change: Change, version: number): string {
    const lines = [
        ...change.set.map(entry => `set ${entry.section}/${entry.name}`),
        ...change.remove.map(key => `remove ${key.section}/${key.name}`),
    ];
    return lines.length === 0 ? `no difference from version ${version}` : lines.join("\n");
}

function formatBehind(behind: readonly string[]): string {
    return behind.length === 0 ? "" : ` (behind: ${behind.join(", ")})`;
}
