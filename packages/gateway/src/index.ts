/** The data path of one VM: receives callers' requests and forwards them to upstreams. */
export { Gateway, type GatewayAddresses } from "./gateway.js";
export { type GatewaySettings, gatewaySettingsSchema } from "./settings.js";
