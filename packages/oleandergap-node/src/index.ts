/** The node daemon as a library, for tests, measurements and adapters that run it in their own process. */
export * from "./adapters.js";
export * from "./createNode.js";
export * from "./options.js";
export * from "./runUntilSignal.js";
export { MAX_STOP_OVERRUN_MS } from "./stop/stopNode.js";
export type { Readiness } from "./admin/readiness.js";
export { readJson, readOptionalJson } from "./admin/readJson.js";
export { readResponseHeader, type ResponseHeaders } from "./http/upstreamResponse.js";
export type { ResponseMetadata, CallerDialect, Dialects, TargetDialect, TargetRequest } from "./http/dialect.js";
export { countHeader, readHeaderPair, readRequestHeader } from "./http/headers.js";
export { formatListenError, type HandleRequest, type ListenError } from "./http/listener.js";
export { HTTP_STATUS, reasonOfFailure, type FailureResponse, type FailureContext } from "./http/refusal.js";
export type { LifetimeReference } from "./target/lifetimes.js";
export type { LocalTargetManager } from "./target/localTargetManager.js";
