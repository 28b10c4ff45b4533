import { readdirSync, readFileSync } from "node:fs";

/** Reads the largest memory that a process has had in use so far, in megabytes. */
export function readPeakMemoryMb(processId: number): number {
    const status = readFileSync(`/proc/${processId}/status`, "utf8");
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)![1]) / 1024;
}

/** Counts the file descriptors that a process has open. */
export function countDescriptors(processId: number): number {
    return readdirSync(`/proc/${processId}/fd`).length;
}
