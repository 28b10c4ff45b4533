/** The data path of one VM. */
export { Gateway, type GatewayAddresses } from "./gateway.js";
export { type GatewaySettings, gatewaySettingsSchema } from "./settings.js";
