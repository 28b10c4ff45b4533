/** Optional parts of the program. The settings of a deployment switch them on; by default all are off. */
export interface NodeFeatures {
    /** Owners of engines keep requests waiting for room in the batch and memory of the engine, by urgency. */
    readonly hasEngineScheduling: boolean;
    /** Client accounts of equal priority get equal shares of engines that are short of room. */
    readonly hasFairShares: boolean;
    /** Owners of engines share the rate at which adapters are transferred from the weight store. */
    readonly hasTransferBudget: boolean;
    /** The choice of an upstream uses its learned speed where the upstreams of a service differ. */
    readonly hasLearnedSpeeds: boolean;
}

/** The features of a deployment whose settings name none. */
export const defaultFeatures: NodeFeatures = {
    hasEngineScheduling: false,
    hasFairShares: false,
    hasTransferBudget: false,
    hasLearnedSpeeds: false,
};
