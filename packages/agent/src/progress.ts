import type { MessageOf } from "@radishreel/protocol";

/** Maximum number of nodes that are listed as behind. */
const maxBehind = 8;

/** Progress of one data centre, from its last summary. */
export type Progress = MessageOf<"progress">;

/** Tracks the offerings version of each node of the own data centre, and the progress of the other data centres. */
export class ProgressTable {
    private readonly nodes = new Map<string, number>();
    private readonly otherDataCentres = new Map<string, Progress>();

    constructor(private readonly dataCentre: string) {}

    setNode(id: string, version: number): void {
        this.nodes.set(id, version);
    }

    removeNode(id: string): void {
        this.nodes.delete(id);
    }

    receive(progress: Progress): void {
        if (progress.dataCentre !== this.dataCentre) {
            this.otherDataCentres.set(progress.dataCentre, progress);
        }
    }

    /** Returns the progress of the own data centre. */
    readOwn(): Progress {
        const versions = [...this.nodes.values()];
        const lowestVersion = versions.length === 0 ? -1 : Math.min(...versions);
        const highest = Math.max(...versions);
        const behind = [...this.nodes].filter(([, version]) => version < highest).map(([id]) => id).slice(0, maxBehind);
        return { type: "progress", dataCentre: this.dataCentre, nodes: this.nodes.size, lowestVersion, behind };
    }

    /** Lists the progress of the own data centre and of all others that sent a summary. */
    list(): Progress[] {
        return [this.readOwn(), ...this.otherDataCentres.values()];
    }

    /** Lists the data centres of `expected` in which some node is not known to have `version`. */
    listBehind(version: number, expected: readonly string[]): string[] {
        const upToDate = new Set(
            this.list().filter(progress => progress.lowestVersion >= version).map(progress => progress.dataCentre),
        );
        return expected.filter(dataCentre => !upToDate.has(dataCentre));
    }
}
