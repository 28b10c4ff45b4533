import { type FleetView, OwnerCandidacy, readOwnerCount } from "@radishreel/fleet";
import { readNow } from "../clock.js";
import type { Peers } from "../links/peers.js";
import type { NodeSettings } from "../options.js";

/**
 * Time after the first start of all VMs in which a VM does not join the owners, in milliseconds. The VMs start within
 * 0.3 s of each other; a VM that knows only the first entries would take the deployment for one of few VMs.
 */
const firstStartWaitMs = 1000;

/** Links of this VM that the check reads. */
type CandidateLinks = Pick<Peers, "isMesh" | "isConnected" | "listMembers">;

/**
 * Creates the check whether this VM is to own engines. VMs that form a full mesh are so few that all of them own some.
 */
export function createCandidacyCheck(
    settings: Pick<NodeSettings, "vm" | "cores" | "isFirstStart">,
    view: Pick<FleetView, "listUpstreams">,
    readLinks: () => CandidateLinks,
): () => boolean {
    const self = { id: settings.vm, cores: settings.cores ?? 0 };
    const startedAt = readNow();
    const candidacy = new OwnerCandidacy({ self, startedAt });
    return () => {
        const links = readLinks();
        if (settings.isFirstStart === true && readNow() - startedAt < firstStartWaitMs) {
            return false;
        }
        if (links.isMesh) {
            return true;
        }
        const others = links.listMembers().map(({ id, cores = 0 }) => ({ id, cores }));
        const engines = view.listUpstreams().filter(({ upstream }) => upstream.models.length > 0).length;
        return candidacy.isCandidate(others, readOwnerCount(engines), vm => links.isConnected(vm), readNow());
    };
}
