/** Processes, requests and waits for the demo, the tests and the measurements. */
export { type CallerOptions, type CallerResult, type CompletionResult, sendCompletion, sendRequest } from "./calls.js";
export {
    type AgentProcess,
    createKeyDigest,
    Deployment,
    findScript,
    type GatewayProcess,
    operatorKey,
    runScript,
    type SettingsOverrides,
} from "./deployment.js";
export { ManagedProcess } from "./process.js";
export { waitFor } from "./wait.js";
