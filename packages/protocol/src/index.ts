/** Typed messages between gateways and agents. */
export {
    type EngineCounts,
    type EngineGrant,
    type EngineSummary,
    type Message,
    type MessageOf,
    messageSchema,
    type ModelDemand,
    type OutgoingMessage,
    type ServiceUpstream,
    type Use,
} from "./messages.js";
export { OfferingsSync } from "./sync.js";
