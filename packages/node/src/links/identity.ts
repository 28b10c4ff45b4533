import type { NodeIdentity } from "@radishreel/wire";
import { formatAddress } from "../listeners.js";
import type { NodeSettings } from "../options.js";

/** Creates the identity by which this process introduces itself on links to other VMs. */
export function createIdentity({ vm, dataCentre, peers }: NodeSettings, incarnation: number): NodeIdentity {
    return { id: vm, role: "node", dataCentre, incarnation, address: formatAddress(peers) };
}
