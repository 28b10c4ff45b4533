import type { MessageOf } from "@radishreel/protocol";

/** Most nodes that are named as being behind. */
const maxBehind = 8;

/** One data centre's progress, as its last summary gave it. */
export type Progress = MessageOf<"progress">;

/** Knows how far every node is with the offerings: node by node at home, data centre by data centre elsewhere. */
export class ProgressTable {
    private readonly nodes = new Map<string, number>();
    private readonly others = new Map<string, Progress>();

    constructor(private readonly dataCentre: string) {}

    setNode(id: string, version: number): void {
        this.nodes.set(id, version);
    }

    removeNode(id: string): void {
        this.nodes.delete(id);
    }

    receive(progress: Progress): void {
        if (progress.dataCentre !== this.dataCentre) {
            this.others.set(progress.dataCentre, progress);
        }
    }

    /** Progress of the own data centre. */
    readOwn(): Progress {
        const versions = [...this.nodes.values()];
        const lowestVersion = versions.length === 0 ? -1 : Math.min(...versions);
        const highest = Math.max(...versions);
        const behind = [...this.nodes].filter(([, version]) => version < highest).map(([id]) => id).slice(0, maxBehind);
        return { type: "progress", dataCentre: this.dataCentre, nodes: this.nodes.size, lowestVersion, behind };
    }

    /** Progress of every data centre that was heard. */
    list(): Progress[] {
        return [this.readOwn(), ...this.others.values()];
    }

    /** Data centres of `wanted` in which some node is not known to have `version`. */
    listBehind(version: number, wanted: readonly string[]): string[] {
        const reached = new Set(
            this.list().filter(progress => progress.lowestVersion >= version).map(progress => progress.dataCentre),
        );
        return wanted.filter(dataCentre => !reached.has(dataCentre));
    }
}
