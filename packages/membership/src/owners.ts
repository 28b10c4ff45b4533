import murmurhash from "murmurhash";

/** Rendezvous weight of `node` for `key`. Every node computes the same weight. */
function readWeight(key: string, node: string): number {
    return murmurhash.v3(`${node}|${key}`);
}

/** Ranks nodes for a key by rendezvous hashing, best first. Adding or removing a node moves only that node's keys. */
export function rankNodes(key: string, nodes: readonly string[]): string[] {
    const weightedNodes = nodes.map(node => ({ node, weight: readWeight(key, node) }));
    weightedNodes.sort((left, right) => right.weight - left.weight || (left.node < right.node ? -1 : 1));
    return weightedNodes.map(({ node }) => node);
}

/** The first node of {@link rankNodes}, found without sorting; undefined without nodes. */
export function findOwner(key: string, nodes: readonly string[]): string | undefined {
    let best: string | undefined;
    let bestWeight = -1;
    for (const node of nodes) {
        const weight = readWeight(key, node);
        if (weight > bestWeight || (weight === bestWeight && best !== undefined && node < best)) {
            best = node;
            bestWeight = weight;
        }
    }
    return best;
}
