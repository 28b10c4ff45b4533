/** The control path of one VM: owns engines, places adapters and distributes the offerings. */
export { Agent, type AgentAddresses } from "./agent.js";
export { type AgentSettings, agentSettingsSchema } from "./settings.js";
