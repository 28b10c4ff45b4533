import {
    type AdmissionAnswer,
    type AdmissionRequest,
    EngineAdmission,
    type EngineNews,
    EnginePlaces,
} from "@radishreel/fleet";
import { engineService } from "./fixtures.js";
import { adapterPlaces, type VersionEngine } from "./versionengine.js";

/** What becomes of an order on its way. */
export type OrderFate = "answered" | "answerLost" | "late";

/** Most steps of a plan at one moment. */
const maxSteps = 20;

/** Options of {@link EngineOwner}. */
export interface EngineOwnerOptions {
    readonly engine: VersionEngine;
    readonly fence: number;
    readonly held: Readonly<Record<string, number>>;
    readonly readTime: () => number;
    readonly mayUse: (key: string, held: number, oldest: number | undefined) => boolean;
    readonly findNewest: (key: string) => number | undefined;
    readonly readFate: () => OrderFate;
    /** Has an order carried out later. */
    readonly delay: (run: () => void) => void;
    readonly sendAnswer: (vm: string, answer: AdmissionAnswer) => void;
    readonly sendNews: (news: EngineNews) => void;
}

/** The owner of one engine: its plan, its queue, and what it tells of it. */
export class EngineOwner {
    readonly places: EnginePlaces;
    private readonly admission: EngineAdmission;
    private revision = 0;
    private lastNews = "";

    constructor(private readonly options: EngineOwnerOptions) {
        const { engine, held, readTime, mayUse, findNewest } = options;
        this.places = new EnginePlaces({
            limits: { ...engineService.engine!, adapterPlaces },
            models: engine.readReport().models,
            held,
            sequence: 0,
            now: readTime(),
            findNewest,
        });
        this.admission = new EngineAdmission({ engine: engine.name, places: this.places, mayUse });
    }

    ask(vm: string, request: AdmissionRequest): void {
        this.options.sendAnswer(vm, this.admission.ask(vm, request, this.options.readTime()));
        this.advance();
    }

    begin(vm: string, ticket: number): void {
        this.admission.begin(vm, ticket);
    }

    end(vm: string, ticket: number): void {
        this.admission.end(vm, ticket, this.options.readTime());
    }

    recordMissing(key: string): void {
        this.places.recordMissing(key, this.options.readTime());
    }

    /** Has a version loaded, for nobody in particular. */
    prepare(key: string, version: number, lifeMs?: number): void {
        this.places.addWant({ key, version, runMs: 0, onTimeMs: 0, lifeMs }, this.options.readTime());
    }

    /** Lets in what can be let in, gives the orders that are due, and tells what has changed. */
    advance(): void {
        const { engine, readTime, sendAnswer } = this.options;
        const now = readTime();
        engine.advance();
        for (const { vm, answer } of this.admission.advance(now)) {
            sendAnswer(vm, answer);
        }
        for (let steps = 0; steps < maxSteps; steps++) {
            const step = this.places.decide(now, key => this.admission.countUses(key));
            if (step.kind === "wait") {
                break;
            }
            if (step.kind === "report") {
                this.places.applyReport(engine.readReport(), now, now);
                continue;
            }
            const fate = this.options.readFate();
            if (fate === "late") {
                this.options.delay(() => engine.apply(step.order));
                this.places.applyAnswer(step.order, "unknown", now);
                continue;
            }
            const answer = engine.apply(step.order);
            this.places.applyAnswer(step.order, fate === "answered" ? answer : "unknown", now);
        }
    }

    /** Tells what has changed since the last time. */
    sendChanges(): void {
        const news = this.createNews();
        const text = JSON.stringify({ ...news, revision: 0 });
        if (text !== this.lastNews) {
            this.lastNews = text;
            this.revision += 1;
            this.options.sendNews(this.createNews());
        }
    }

    createNews(): EngineNews {
        const { places, admission } = this;
        return {
            engine: this.options.engine.name,
            fence: this.options.fence,
            revision: this.revision,
            isOwned: true,
            canOrder: true,
            isReachable: true,
            held: places.listHeld(),
            coming: places.listComing(),
            waitMs: Math.round(admission.readNextTurnMs(this.options.readTime())),
            coldLoadMs: Math.round(places.readLoadMs(false)),
            warmLoadMs: Math.round(places.readLoadMs(true)),
            load: { ...admission.load },
        };
    }
}
