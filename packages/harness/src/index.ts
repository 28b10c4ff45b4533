/** Starts processes, sends requests and waits for conditions, for the demo, the tests and the benchmarks. */
export { type CallerOptions, type CallerResult, type CompletionResult, sendCompletion, sendRequest } from "./calls.js";
export { Crowd, type CrowdOptions } from "./crowds.js";
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
export { countDescriptors, readPeakMemoryMb } from "./processfiles.js";
export { waitFor } from "./wait.js";
