import { type Change, createChange, listOfferingsEntries, type Offerings, OfferingsState } from "@radishreel/offerings";
import { formatMistake } from "@radishreel/settings";
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import type { AgentClient, AgentError, ApplyReport } from "./agent.js";
import { type ExitCode, exitCodes } from "./exit.js";
import { readOfferings } from "./files.js";

/** Where a command writes; replaced in tests. */
export interface Output {
    /** Prints a result: `value` as JSON, or `text` for people. */
    print(value: unknown, text: string): void;
    /** Prints what went wrong. */
    fail(value: unknown, text: string): void;
}

/** Tries of an apply whose answer is lost. */
const applyTries = 3;

/** Reads and checks files. */
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
    /** Names the apply; give the same one to ask again what became of it. */
    readonly applyId?: string;
    /** Version that the files were made against. @default the one in force now */
    readonly base?: number;
}

/** Puts files in force as a whole, and tells where they are. */
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
            `not in force: version ${version} is in force, not ${base}; look at diff and apply again`,
        );
        return exitCodes.lostRace;
    }
    if (isEmpty(change)) {
        output.print({ outcome: "unchanged", version }, `nothing to change: version ${version} is in force`);
        return exitCodes.done;
    }
    const applyId = options.applyId ?? randomUUID();
    const report = await sendApply(client, { applyId, base, digest, author: userInfo().username, change });
    return "result" in report ? printReport(report, applyId, output) : printLost(report, applyId, output);
}

async function sendApply(
    client: AgentClient,
    apply: Parameters<AgentClient["apply"]>[0],
): Promise<ApplyReport | AgentError> {
    let failure: AgentError = { message: "no agent was asked", isRefusal: false };
    for (let tries = 0; tries < applyTries; tries++) {
        const answer = await client.apply(apply);
        if (answer.isOk()) {
            return answer.value;
        }
        failure = answer.error;
        if (failure.isRefusal) {
            return failure;
        }
    }
    return failure;
}

function printLost(failure: AgentError, applyId: string, output: Output): ExitCode {
    if (failure.isRefusal) {
        output.fail({ outcome: "refused", message: failure.message }, `not in force: ${failure.message}`);
        return exitCodes.notInForce;
    }
    output.fail(
        { outcome: "unknown", applyId, message: failure.message },
        `cannot tell whether it is in force: ${failure.message}\nask again with --apply-id ${applyId}`,
    );
    return exitCodes.unknown;
}

function printReport(report: ApplyReport, applyId: string, output: Output): ExitCode {
    const { result, progress, behind } = report;
    switch (result.kind) {
        case "accepted": {
            const where = progress.map(({ dataCentre, nodes, lowestVersion }) =>
                `${dataCentre}: ${nodes} nodes at ${lowestVersion} or later`
            );
            const lines = [`in force: version ${result.version}`, ...where];
            if (behind.length > 0) {
                lines.push(`not known to be everywhere yet in: ${behind.join(", ")}`);
            }
            output.print({ outcome: "inForce", version: result.version, progress, behind }, lines.join("\n"));
            return behind.length > 0 ? exitCodes.behind : exitCodes.done;
        }
        case "void":
            output.fail(
                { outcome: "lostRace", reason: result.reason },
                `not in force: another apply came first (${result.reason}); look at diff and apply again`,
            );
            return exitCodes.lostRace;
        case "notInForce":
            output.fail({ outcome: "notInForce", message: result.message }, `not in force: ${result.message}`);
            return exitCodes.notInForce;
        case "unknown":
            output.fail(
                { outcome: "unknown", applyId, message: result.message },
                `cannot tell whether it is in force: ${result.message}\nask again with --apply-id ${applyId}`,
            );
            return exitCodes.unknown;
    }
}

/** Shows the nodes and the version in force. */
export async function runStatus(client: AgentClient, output: Output): Promise<ExitCode> {
    const status = await client.readStatus();
    if (status.isErr()) {
        return failUnreachable(status.error, output);
    }
    const { id, dataCentre, version, isKnown, isLogReachable, progress } = status.value;
    const lines = [
        `agent ${id} in ${dataCentre}: ${isKnown ? `version ${version} in force` : "knows no offerings"}`,
        `log: ${isLogReachable ? "reachable" : "not reachable"}`,
        ...progress.map(entry =>
            `${entry.dataCentre}: ${entry.nodes} nodes at ${entry.lowestVersion} or later${formatBehind(entry.behind)}`
        ),
    ];
    output.print(status.value, lines.join("\n"));
    return exitCodes.done;
}

/** Shows why a model is where it is. */
export async function runExplain(model: string, client: AgentClient, output: Output): Promise<ExitCode> {
    const explanation = await client.explain(model);
    if (explanation.isErr()) {
        return failUnreachable(explanation.error, output);
    }
    output.print(explanation.value, JSON.stringify(explanation.value, undefined, 4));
    return exitCodes.done;
}

/** Takes an upstream out of service: it gets nothing new. */
export async function runDrain(upstream: string, client: AgentClient, output: Output): Promise<ExitCode> {
    const answer = await client.drain(upstream);
    if (answer.isErr()) {
        return failUnreachable(answer.error, output);
    }
    output.print(answer.value, `${upstream} is leaving: it gets nothing new`);
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

/** Before the first apply nothing is in force, not even a policy. */
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
