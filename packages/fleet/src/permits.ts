/** A permit that was not released expires after this time, in milliseconds: its VM is assumed to be gone. */
const defaultLifetimeMs = 20_000;

/** The VM and the ticket that may run a suspect request. */
interface Permit {
    readonly vm: string;
    readonly ticket: number;
    readonly grantedAt: number;
}

/** Options of {@link PermitIssuer}. */
export interface PermitIssuerOptions {
    /** Longest lifetime of a permit, in milliseconds. @default 20000 */
    readonly lifeMs?: number | undefined;
}

/**
 * Lets a suspect request run at one upstream at a time, over all VMs. Otherwise several copies that arrive at several
 * VMs at once would end as many upstreams before the first end is known.
 */
export class PermitIssuer {
    private readonly permits = new Map<string, Permit>();
    private readonly lifeMs: number;

    constructor({ lifeMs }: PermitIssuerOptions = {}) {
        this.lifeMs = lifeMs ?? defaultLifetimeMs;
    }

    /** Number of suspect requests that hold a permit. */
    get permitCount(): number {
        return this.permits.size;
    }

    /** @returns Whether the VM may run the request under this ticket now. */
    claim(request: string, vm: string, ticket: number, now: number): boolean {
        const current = this.permits.get(request);
        const isOther = current !== undefined && (current.vm !== vm || current.ticket !== ticket);
        if (isOther && now - current.grantedAt < this.lifeMs) {
            return false;
        }
        this.permits.set(request, { vm, ticket, grantedAt: now });
        return true;
    }

    release(request: string, vm: string, ticket: number): void {
        const current = this.permits.get(request);
        if (current?.vm === vm && current.ticket === ticket) {
            this.permits.delete(request);
        }
    }

    /** Drops the permits of a VM that is gone. */
    removeVm(vm: string): void {
        for (const [request, permit] of this.permits) {
            if (permit.vm === vm) {
                this.permits.delete(request);
            }
        }
    }

    expireOld(now: number): void {
        for (const [request, { grantedAt }] of this.permits) {
            if (now - grantedAt >= this.lifeMs) {
                this.permits.delete(request);
            }
        }
    }
}
