/** Counters, histograms and the log lines for changes of state. */
export { createLogger, type LogFormat, type Logger } from "./logger.js";
export { AgentMetrics, GatewayMetrics } from "./metrics.js";
export { type MetricsServerOptions, startMetricsServer } from "./serve.js";
