/** A run that is allowed and not reported as ended for this long is taken to be over, in milliseconds: its VM is gone. */
const usualLifeMs = 20_000;

/** Who runs a suspected request. */
interface Permit {
    readonly vm: string;
    readonly ticket: number;
    readonly since: number;
}

/** Options of {@link PermitReferee}. */
export interface PermitRefereeOptions {
    /** How long a permit lasts at most, in milliseconds. @default 20000 */
    readonly lifeMs?: number | undefined;
}

/**
 * Lets a suspected request run at one upstream at a time, over all VMs: several copies of it that come at once at several VMs
 * would otherwise end as many upstreams before the first end is known.
 */
export class PermitReferee {
    private readonly permits = new Map<string, Permit>();
    private readonly lifeMs: number;

    constructor({ lifeMs }: PermitRefereeOptions = {}) {
        this.lifeMs = lifeMs ?? usualLifeMs;
    }

    /** Requests that are being tried. */
    get permitCount(): number {
        return this.permits.size;
    }

    /** @returns Whether the asker may run the request now. */
    claim(request: string, vm: string, ticket: number, now: number): boolean {
        const known = this.permits.get(request);
        const isOther = known !== undefined && (known.vm !== vm || known.ticket !== ticket);
        if (isOther && now - known.since < this.lifeMs) {
            return false;
        }
        this.permits.set(request, { vm, ticket, since: now });
        return true;
    }

    release(request: string, vm: string, ticket: number): void {
        const known = this.permits.get(request);
        if (known?.vm === vm && known.ticket === ticket) {
            this.permits.delete(request);
        }
    }

    /** A VM is gone, and what it ran with it. */
    removeVm(vm: string): void {
        for (const [request, permit] of this.permits) {
            if (permit.vm === vm) {
                this.permits.delete(request);
            }
        }
    }

    expireOld(now: number): void {
        for (const [request, { since }] of this.permits) {
            if (now - since >= this.lifeMs) {
                this.permits.delete(request);
            }
        }
    }
}
