/** The control path of one VM. */
export { Agent, type AgentAddresses } from "./agent.js";
export { type AgentSettings, agentSettingsSchema } from "./settings.js";
