import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { LimitWorld, listVms, startLimit } from "./limitworld.js";
import { createRandom } from "./random.js";

for (const count of [7, 195]) {
    const vms = listVms(count);
    for (const perSecond of [0.2, 1, 7.5, 50]) {
        for (const [where, senders] of [["one VM", ["v3"]], ["all VMs", vms]] as const) {
            test(`${count} VMs use 0.9 of a limit of ${perSecond} a second and no more than it, with demand at ${where}`, async () => {
                const world = new LimitWorld(vms, vms.slice(0, 7));
                await startLimit(world, perSecond, senders);
                const from = world.schedule.now;
                const ms = Math.max(10_000, 12_000 / perSecond);
                await world.runRequests(senders, Math.max(10, 2 * perSecond), ms, createRandom(count));
                const served = world.countArrivals(from, from + ms);
                const named = perSecond * ms / 1000;
                assert.ok(served >= 0.9 * named, `${served} of ${named}`);
                assert.ok(served <= named + 0.25 * perSecond + 2, `${served} of ${named}`);
                world.checkArrivals();
            });
        }
    }
}

/** One step of a random history. */
type Step =
    | { readonly kind: "requests"; readonly isOneVm: boolean; readonly perSecond: number; readonly ms: number; }
    | { readonly kind: "limit"; readonly perSecond: number | undefined; }
    | { readonly kind: "cut"; readonly share: number; }
    | { readonly kind: "heal"; }
    | { readonly kind: "pause"; readonly vm: number; readonly ms: number; }
    | { readonly kind: "restart"; readonly vm: number; readonly downMs: number; };

const ratesArbitrary = fc.constantFrom(0, 0.2, 1, 5, 20);

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constant("requests" as const),
            isOneVm: fc.boolean(),
            perSecond: fc.constantFrom(5, 20, 60),
            ms: fc.integer({ min: 300, max: 6000 }),
        }),
    },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("limit" as const),
            perSecond: fc.option(ratesArbitrary, { nil: undefined }),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("cut" as const), share: fc.double({ min: 0, max: 1 }) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("heal" as const) }) },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("pause" as const),
            vm: fc.nat(),
            ms: fc.integer({ min: 50, max: 5000 }),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("restart" as const),
            vm: fc.nat(),
            downMs: fc.integer({ min: 0, max: 2000 }),
        }),
    },
);

async function runStep(world: LimitWorld, step: Step, random: () => number): Promise<void> {
    const { vms } = world;
    switch (step.kind) {
        case "requests": {
            const senders = step.isOneVm ? [vms[Math.floor(random() * vms.length)]!] : vms;
            await world.runRequests(senders, step.perSecond, step.ms, random);
            return;
        }
        case "limit":
            world.setLimit(step.perSecond);
            return;
        case "cut":
            world.closePathsOf(vms.filter(() => random() < step.share));
            return;
        case "heal":
            world.openPaths();
            return;
        case "pause":
            world.processes.get(vms[step.vm % vms.length]!)?.pause(step.ms);
            return;
        case "restart": {
            const vm = vms[step.vm % vms.length]!;
            world.kill(vm);
            world.schedule.add(step.downMs, () => world.startVm(vm));
        }
    }
}

test("over random histories a limit is kept by all VMs together, and used once the network is whole", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.constantFrom(3, 7, 12),
            fc.array(stepArbitrary, { minLength: 3, maxLength: 16 }),
            fc.integer(),
            async (count, steps, seed) => {
                const world = new LimitWorld(listVms(count));
                const random = createRandom(seed);
                for (const step of steps) {
                    await runStep(world, step, random);
                }
                world.openPaths();
                await world.schedule.advance(6000);
                world.setLimit(5);
                // After a limit of 0, a request every 10 s shows what the upstream names.
                await world.runRequests(world.vms, 20, 12_000, random);
                const from = world.schedule.now;
                await world.runRequests(world.vms, 20, 8000, random);
                const served = world.countArrivals(from, from + 8000);
                assert.ok(served >= 0.9 * 40, `${served} of 40`);
                world.setLimit(undefined);
                await world.runRequests(world.vms, 20, 4000, random);
                const refused = world.refused;
                await world.runRequests(world.vms, 20, 2000, random);
                assert.is(world.refused, refused);
                world.checkArrivals();
            },
        ),
        { seed: 44, numRuns: Number(process.env["RADISHREEL_HISTORIES"] ?? 60) },
    );
});

test.run();
