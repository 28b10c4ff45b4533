import prand from "pure-rand";

/** Seeded generator of random numbers. */
export class RandomSource {
    private readonly generator: prand.RandomGenerator;

    constructor(seed: number) {
        this.generator = prand.xoroshiro128plus(seed);
    }

    /** Returns a uniformly distributed number in [0, 1). */
    readUnit(): number {
        return prand.unsafeUniformIntDistribution(0, 0x3fff_ffff, this.generator) / 0x4000_0000;
    }

    /** Returns an exponentially distributed number with the given mean. */
    readExponential(mean: number): number {
        return -mean * Math.log(1 - this.readUnit());
    }

    /** Returns a uniformly distributed integer in [0, count). */
    readIndex(count: number): number {
        return Math.floor(this.readUnit() * count);
    }
}

/** Draws from a Zipf distribution over ranks 0 to `count - 1`. */
export class ZipfSource {
    private readonly sums: Float64Array;

    constructor(count: number, exponent: number) {
        this.sums = new Float64Array(count);
        let total = 0;
        for (let rank = 0; rank < count; rank++) {
            total += 1 / (rank + 1) ** exponent;
            this.sums[rank] = total;
        }
    }

    readRank(random: RandomSource): number {
        const target = random.readUnit() * this.sums[this.sums.length - 1]!;
        let low = 0;
        let high = this.sums.length - 1;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.sums[middle]! < target) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
