/** The commands of `radishreel` as functions. */
export { AgentClient } from "./agent.js";
export { type Output, runApply, runCheck, runDiff, runDrain, runExplain, runStatus } from "./commands.js";
export { type ExitCode, exitCodes } from "./exit.js";
export { readOfferings } from "./files.js";
