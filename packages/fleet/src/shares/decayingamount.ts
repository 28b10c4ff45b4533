/** An amount that decays exponentially. */
export class DecayingAmount {
    private amount = 0;
    private decayedAt = -Infinity;

    /** @param halfLifeMs In milliseconds. */
    constructor(private readonly halfLifeMs: number) {}

    add(amount: number, now: number): void {
        this.amount = this.read(now) + amount;
        this.decayedAt = Math.max(now, this.decayedAt);
    }

    read(now: number): number {
        return this.amount === 0 ? 0 : this.amount * 0.5 ** (Math.max(0, now - this.decayedAt) / this.halfLifeMs);
    }
}
