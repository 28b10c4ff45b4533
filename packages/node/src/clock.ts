import { uptime } from "node:os";

/** Steady time of this process, in milliseconds. It stands still while the VM is suspended. */
export function readNow(): number {
    return performance.now();
}

/**
 * Steady time in milliseconds that goes on while the VM is suspended. Claims are judged by it, since others count that
 * time too. Its resolution is 10 ms.
 */
export function readBootTime(): number {
    return uptime() * 1000;
}
