/** Decides what a further copy of an adapter costs. */
export interface CopyRule {
    /** Cost of loading an adapter on an engine while another one holds or loads it, in milliseconds. */
    readonly secondCopyCostMs: number;
}

/**
 * The copy takes a slot from another adapter, and the engine reads the shared parts of its prompts again. A busy adapter
 * gets a second engine once the queue of the first exceeds this cost plus a load.
 */
export const moderateCopies: CopyRule = { secondCopyCostMs: 250 };

/**
 * Cost of copies where adapters take most slots and demand shifts within seconds. At 250 ms, VMs whose statuses are up
 * to 1 s old load 1.3 copies of each adapter, and the adapters that give way must be loaded again. At 8 engines and 1.5
 * times the usual demand the hit rate is then 0.75 of that of Belady's rule, at 1,000 ms 0.89; of the long prompts at 63
 * engines and 2.5 times the usual demand, 0.70 and 0.79 are within their target (`test/adapterfleet.ts`). At 2,000 ms
 * the hit rate hardly changes, and more requests are late.
 */
export const scarceCopies: CopyRule = { secondCopyCostMs: 1000 };
