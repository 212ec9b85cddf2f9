/** Stand-ins for the platform, the targets and the callers, used by tests, experiments and the demo. */
export type { CallCounts, PlatformStandInCounters } from "./platform/counters.js";
export { CALLER_HEADER } from "./platform/counters.js";
export * from "./platform/options.js";
export * from "./platform/platformStandIn.js";
export { echoSchema, type Echo } from "./target/echo.js";
export type { TargetCounters } from "./target/handleRequest.js";
export * from "./target/options.js";
export { ANSWER_PADDING_HEADER, RUN_KEY_HEADER } from "./target/requestHeaders.js";
export * from "./target/runLog.js";
export * from "./target/targetControl.js";
export * from "./target/targetStandIn.js";
export * from "./caller/caller.js";
export * from "./caller/callResult.js";
export { checkResponse, type ResponseCheck } from "./caller/checkResponse.js";
export * from "./caller/latencyRecorder.js";
export type { LoadReport } from "./caller/loadReport.js";
export * from "./caller/loadRun.js";
