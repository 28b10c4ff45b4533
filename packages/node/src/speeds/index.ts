export { SpeedMonitor, type SpeedMonitorOptions } from "./monitor.js";
