import { readFile } from "node:fs/promises";

/** Clock ticks per second in the process accounting of the Linux kernel. */
const ticksPerSecond = 100;

/** Resource usage of a process. */
export interface Usage {
    /** Processor time, in milliseconds, with a resolution of 10 ms. */
    readonly cpuMs: number;
    /** Resident memory, in bytes. */
    readonly memory: number;
}

/** Reads the kernel's accounting of a process (proc(5): fields 14, 15 and 24 of `stat`). */
export async function readUsage(pid: number): Promise<Usage> {
    const text = await readFile(`/proc/${pid}/stat`, "latin1");
    // The second field, the program's name, may hold spaces; the others follow its closing bracket.
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    const [utime, stime, pages] = [11, 12, 21].map(index => Number(fields[index]));
    return { cpuMs: (utime! + stime!) * 1000 / ticksPerSecond, memory: pages! * 4096 };
}

/** Linear least-squares fit, with the maximum vertical distance of a point from the line. */
export interface Fit {
    readonly slope: number;
    readonly intercept: number;
    readonly spread: number;
}

/** Fits a line to the points. */
export function createFit(points: readonly { x: number; y: number; }[]): Fit {
    const meanX = points.reduce((sum, { x }) => sum + x, 0) / points.length;
    const meanY = points.reduce((sum, { y }) => sum + y, 0) / points.length;
    const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
    const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
    const slope = covariance / variance;
    const intercept = meanY - slope * meanX;
    const spread = Math.max(...points.map(({ x, y }) => Math.abs(y - intercept - slope * x)));
    return { slope, intercept, spread };
}
