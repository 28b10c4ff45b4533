/** Upstreams that must have ended under a part that no upstream is known to have survived. */
const minEnds = 4;

/** Of these, the upstreams that no other condemned part is known to have ended. */
const minUnexplained = 2;

/**
 * Ends under a part from which it is refused although other condemned parts explain them all: while several parts end
 * upstreams, each end has all of them among its suspects.
 */
const minEndsOfExplained = 6;

/** How long after the last end such a part is refused, in milliseconds: engines start again within some seconds. */
const explainedHoldMs = 10_000;

/**
 * Unexplained ends under a part that upstreams have survived before, and the time over which they must be spread, in
 * milliseconds.
 */
const minEndsOfSound = 5;
const minSpreadMsOfSound = 2000;

/**
 * Ends under parts that are always seen together from which each of the parts is refused by itself, if they come from
 * different requests.
 */
const minEndsOfAny = 5;

/**
 * Time after an answer on a part in which the part is not suspected of ending an upstream, in milliseconds. Shared
 * parts are answered many times a second, so their ids are hardly ever reported.
 */
const recentlySoundMs = 2000;

/** Time for which evidence against a part is kept unless the part is condemned, in milliseconds: a day. */
const evidenceLifetimeMs = 86_400_000;

/** Most pairs of a part and an end that are tracked; they take some 15 MB. */
const defaultMaxEvidence = 100_000;

/** Most parts whose last answer is remembered. */
const maxSoundParts = 20_000;

/** Parts of which at least one ends each upstream that begins an answer on it. */
export interface CondemnedParts {
    /** Several if they could not be told apart. */
    readonly parts: readonly string[];
    /** Ids of the upstream incarnations that ended under them. */
    readonly upstreams: readonly string[];
    /** Whether a request is refused only if its prompt has all of the parts. */
    readonly isJoint: boolean;
    /**
     * End of the refusal, in Unix milliseconds; undefined if the parts stay condemned. After that requests with the parts
     * run one at a time, until an answer clears the parts or another end condemns them.
     */
    readonly until?: number | undefined;
}

/** Options of {@link PartQuarantine}. */
export interface PartQuarantineOptions {
    /** Most pairs of a part and an end that are tracked. @default 100000 */
    readonly maxEvidence?: number | undefined;
}

/** The end of an upstream, with the suspected parts of each prompt that it may have begun to answer. */
interface UpstreamEnd {
    /** Earliest time at which a VM noticed the end, in Unix milliseconds. */
    at: number;
    /** When this process learned of the end. */
    readonly knownSince: number;
    readonly prompts: (readonly string[])[];
    readonly parts: Set<string>;
}

/** A part that may be the cause of some ends. */
interface Candidate {
    readonly part: string;
    readonly upstreams: readonly string[];
    /** Upstreams that no other part is known to have ended. */
    readonly unexplained: readonly string[];
    readonly isSound: boolean;
}

/**
 * Finds parts of prompts that end each upstream that begins to write an answer on them. Requests share parts, so each
 * end has many suspects:
 *
 * - an answer that has gone on for a while clears the parts of its prompt of all earlier ends, since a fatal part is
 *   never answered;
 * - the part under which most upstreams ended explains these ends, which then count against no other part;
 * - parts under which the same upstreams ended are told apart by the next end or answer. Until then requests are
 *   refused that have all of them.
 *
 * A condemned part stays so until an answer or an operator clears it. Evidence gives the same result in any order.
 */
export class PartQuarantine {
    private readonly maxEvidence: number;
    private readonly ends = new Map<string, UpstreamEnd>();
    private readonly upstreamsByPart = new Map<string, Set<string>>();
    private readonly clearedAt = new Map<string, number>();
    /** When an answer on each part last went on, by the requests of this VM; least recent first. */
    private readonly soundAt = new Map<string, number>();
    private evidence = 0;
    private condemned: CondemnedParts[] | undefined = [];

    constructor({ maxEvidence }: PartQuarantineOptions = {}) {
        this.maxEvidence = maxEvidence ?? defaultMaxEvidence;
    }

    /** Number of parts that are suspected of ending upstreams. */
    get suspectCount(): number {
        return this.upstreamsByPart.size;
    }

    /** Whether any parts are condemned, whether or not their refusal has ended. */
    get hasCondemned(): boolean {
        return this.listAllCondemned().length > 0;
    }

    /** Lists the parts of a prompt that may have ended an upstream. @param now Unix time in milliseconds, here and below. */
    listSuspects(parts: readonly string[], now: number): string[] {
        return parts.filter(part => this.readSoundAt(part) + recentlySoundMs <= now);
    }

    /**
     * Adds an end that one VM noticed.
     * @param prompts The suspected parts of each prompt that the upstream may have begun to answer.
     */
    applyEnd(upstream: string, at: number, prompts: readonly (readonly string[])[], now: number): void {
        if (prompts.length === 0) {
            return;
        }
        const end = this.ends.get(upstream)
            ?? { at: Infinity, knownSince: now, prompts: [], parts: new Set<string>() };
        this.ends.set(upstream, end);
        end.at = Math.min(end.at, at);
        end.prompts.push(...prompts);
        for (const part of prompts.flat()) {
            if (!end.parts.has(part)) {
                this.addSuspect(part, upstream, end);
            }
        }
        this.condemned = undefined;
        this.evictOldest(upstream);
    }

    /** Clears a part of the ends up to a point in time. */
    applyClearance(part: string, at: number): void {
        if (at > (this.clearedAt.get(part) ?? -Infinity)) {
            this.clearedAt.set(part, at);
            this.condemned = undefined;
        }
    }

    /**
     * Records that an answer on these parts has gone on.
     * @returns The parts against which ends counted: other VMs may still suspect them.
     */
    recordAnswer(parts: readonly string[], now: number): string[] {
        const suspects = parts.filter(part => this.countEnds(part) > 0);
        for (const part of parts) {
            this.soundAt.delete(part);
            this.soundAt.set(part, now);
            if (this.upstreamsByPart.has(part)) {
                this.condemned = undefined;
            }
        }
        for (const part of this.soundAt.keys()) {
            if (this.soundAt.size <= maxSoundParts) {
                break;
            }
            this.soundAt.delete(part);
        }
        return suspects;
    }

    /** When an answer on a part last went on, as far as this VM knows; -Infinity if never. */
    readSoundAt(part: string): number {
        return Math.max(this.soundAt.get(part) ?? -Infinity, this.clearedAt.get(part) ?? -Infinity);
    }

    /** Number of ends that count against a part, whether or not another part explains them. */
    countEnds(part: string): number {
        return this.listCounted(part).length;
    }

    /** Time of a clearance that covers all known ends, in Unix milliseconds. */
    readClearanceTime(part: string, now: number): number {
        const upstreams = [...this.upstreamsByPart.get(part) ?? []];
        return Math.max(now, ...upstreams.map(upstream => this.ends.get(upstream)!.at));
    }

    /** Finds the condemned parts for which a prompt is refused; undefined if it is not refused. */
    findCondemned(parts: readonly string[], now: number): CondemnedParts | undefined {
        return this.listCondemned(now).find(group => isCovered(group, parts));
    }

    /** Finds the parts of a prompt whose refusal has ended without a verdict; undefined if it has none. */
    findOnTrial(parts: readonly string[], now: number): CondemnedParts | undefined {
        return this.listAllCondemned().find(group => !isRefused(group, now) && isCovered(group, parts));
    }

    /** Lists the parts that are refused. */
    listCondemned(now: number): readonly CondemnedParts[] {
        return this.listAllCondemned().filter(group => isRefused(group, now));
    }

    /** Whether a part is condemned for the end of an upstream. */
    isCondemnedFor(upstream: string): boolean {
        return this.listAllCondemned().some(({ upstreams }) => upstreams.includes(upstream));
    }

    /** Whether the end of an upstream is tracked. */
    hasEnd(upstream: string): boolean {
        return this.ends.has(upstream);
    }

    /** Whether a part is suspected of any tracked end. */
    isTracked(part: string): boolean {
        return this.upstreamsByPart.has(part);
    }

    /** Removes evidence that is old, unless a part is condemned for it. */
    expireOld(now: number): void {
        const kept = this.listCondemnedUpstreams();
        for (const [upstream, { knownSince }] of this.ends) {
            if (knownSince + evidenceLifetimeMs <= now && !kept.has(upstream)) {
                this.removeEnd(upstream);
            }
        }
        for (const part of this.clearedAt.keys()) {
            if (!this.upstreamsByPart.has(part) && this.clearedAt.get(part)! + evidenceLifetimeMs <= now) {
                this.clearedAt.delete(part);
            }
        }
    }

    private addSuspect(part: string, upstream: string, end: UpstreamEnd): void {
        end.parts.add(part);
        this.evidence += 1;
        const upstreams = this.upstreamsByPart.get(part) ?? new Set<string>();
        this.upstreamsByPart.set(part, upstreams);
        upstreams.add(upstream);
        const soundAt = this.soundAt.get(part);
        if (soundAt !== undefined) {
            this.applyClearance(part, soundAt);
        }
    }

    /** The ends that count against a part: those after the last answer on it. */
    private listCounted(part: string): string[] {
        const clearedAt = this.readSoundAt(part);
        return [...this.upstreamsByPart.get(part) ?? []].filter(upstream => this.ends.get(upstream)!.at > clearedAt);
    }

    /** Explains ends by the part under which most upstreams ended, then the remaining ends in the same way. */
    private decideCondemned(): CondemnedParts[] {
        const condemned: CondemnedParts[] = [];
        const condemnedParts = new Set<string>();
        const explained = new Set<string>();
        for (;;) {
            const candidates = this.listCandidates(explained).filter(({ part }) => !condemnedParts.has(part));
            if (candidates.length === 0) {
                return condemned;
            }
            const lead = candidates.reduce((best, next) => compareCandidates(next, best) < 0 ? next : best);
            const equals = candidates.filter(candidate => hasSameEvidence(candidate, lead));
            const group = this.createCondemned(equals.map(({ part }) => part), lead);
            condemned.push(group);
            group.parts.forEach(part => condemnedParts.add(part));
            group.upstreams.forEach(upstream => explained.add(upstream));
        }
    }

    /** Lists the parts that enough ends count against. @param explained Upstreams that other parts ended. */
    private listCandidates(explained: ReadonlySet<string>): Candidate[] {
        const candidates: Candidate[] = [];
        for (const [part, all] of this.upstreamsByPart) {
            if (all.size < minEnds) {
                continue;
            }
            const upstreams = this.listCounted(part).sort();
            const candidate: Candidate = {
                part,
                upstreams,
                unexplained: upstreams.filter(upstream => !explained.has(upstream)),
                isSound: this.readSoundAt(part) > -Infinity,
            };
            if (candidate.isSound ? this.isConclusiveForSound(candidate) : this.isConclusive(candidate)) {
                candidates.push(candidate);
            }
        }
        return candidates;
    }

    /** Whether ends show that a part ends upstreams that none is known to have survived. */
    private isConclusive({ upstreams, unexplained }: Candidate): boolean {
        return upstreams.length >= minEndsOfExplained
            || (upstreams.length >= minEnds && unexplained.length >= minUnexplained);
    }

    /** Whether ends show that a part ends upstreams now that have survived it before. */
    private isConclusiveForSound({ unexplained }: Candidate): boolean {
        const times = unexplained.map(upstream => this.ends.get(upstream)!.at);
        return times.length >= minEndsOfSound && Math.max(...times) - Math.min(...times) >= minSpreadMsOfSound;
    }

    private createCondemned(parts: readonly string[], { upstreams, unexplained }: Candidate): CondemnedParts {
        const isTogether = upstreams.every(upstream =>
            this.ends.get(upstream)!.prompts.some(prompt => parts.every(part => prompt.includes(part)))
        );
        const lastEndAt = Math.max(...upstreams.map(upstream => this.ends.get(upstream)!.at));
        return {
            parts: [...parts].sort(),
            upstreams,
            isJoint: isTogether || upstreams.length < minEndsOfAny,
            until: unexplained.length === 0 ? lastEndAt + explainedHoldMs : undefined,
        };
    }

    private listAllCondemned(): readonly CondemnedParts[] {
        this.condemned ??= this.decideCondemned();
        return this.condemned;
    }

    private listCondemnedUpstreams(): Set<string> {
        return new Set(this.listAllCondemned().flatMap(({ upstreams }) => upstreams));
    }

    /** Drops the oldest evidence beyond the limit, but none of the newest end and none that a part is condemned for. */
    private evictOldest(newest: string): void {
        if (this.evidence <= this.maxEvidence) {
            return;
        }
        const kept = this.listCondemnedUpstreams();
        for (const upstream of this.ends.keys()) {
            if (this.evidence <= this.maxEvidence) {
                return;
            }
            if (upstream !== newest && !kept.has(upstream)) {
                this.removeEnd(upstream);
            }
        }
    }

    private removeEnd(upstream: string): void {
        const { parts } = this.ends.get(upstream)!;
        this.ends.delete(upstream);
        this.evidence -= parts.size;
        for (const part of parts) {
            const upstreams = this.upstreamsByPart.get(part)!;
            upstreams.delete(upstream);
            if (upstreams.size === 0) {
                this.upstreamsByPart.delete(part);
            }
        }
        this.condemned = undefined;
    }
}

/** Whether a prompt has the condemned parts. */
function isCovered({ parts, isJoint }: CondemnedParts, prompt: readonly string[]): boolean {
    return isJoint ? parts.every(part => prompt.includes(part)) : parts.some(part => prompt.includes(part));
}

function isRefused({ until = Infinity }: CondemnedParts, now: number): boolean {
    return now < until;
}

/** Orders candidates: parts that were never answered first, then those that explain most ends, then by id. */
function compareCandidates(left: Candidate, right: Candidate): number {
    return Number(left.isSound) - Number(right.isSound)
        || right.unexplained.length - left.unexplained.length
        || right.upstreams.length - left.upstreams.length
        || (left.part < right.part ? -1 : 1);
}

/** Whether the same upstreams ended under two parts, so that they cannot be told apart. */
function hasSameEvidence(left: Candidate, right: Candidate): boolean {
    return left.isSound === right.isSound && left.upstreams.length === right.upstreams.length
        && left.upstreams.every((upstream, index) => upstream === right.upstreams[index]);
}
