/** Prometheus metrics, their HTTP server and the structured logger. */
export { createLogger, type LogFormat, type Logger } from "./logger.js";
export { AgentMetrics, GatewayMetrics } from "./metrics.js";
export { type MetricsServerOptions, startMetricsServer } from "./serve.js";
