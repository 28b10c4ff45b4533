/** Typed messages between gateways and agents. */
export {
    type EngineCounts,
    type EngineGrant,
    type EngineSummary,
    type Message,
    type MessageOf,
    messageSchema,
    type ModelDemand,
    type ModelUse,
    type OutgoingMessage,
    type ServiceUpstream,
} from "./messages.js";
export { OfferingsSync } from "./sync.js";
