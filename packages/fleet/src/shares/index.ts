/** Shares of client accounts in the engines: usage by account, and its exchange between the owners of engines. */
export { readRequestCost, type RequestSize } from "./cost.js";
export { AccountLedger, type RankedUsage } from "./ledger.js";
export { maxReportedAccounts, type UsageReport, usageReportSchema } from "./report.js";
export type { AccountStarts } from "./usage.js";
