/**
 * Adapters for the platform's table service and object store, the schemas of their messages, and an in-memory platform.
 */
export { createChannel, type Channel, type ChannelOptions, type EraSource } from "./channel.js";
export * from "./eraWatch.js";
export type { CallKind, ResponseWithEra, PlatformResponse } from "./classifyExchange.js";
export { parseJson, type ParsedJson } from "./parseJson.js";
export * from "./memoryPlatform.js";
export * from "./objectStoreClient.js";
export * from "./options.js";
export * from "./platformClient.js";
export type { PlatformCounters } from "./platformCounters.js";
export * from "./tableServiceClient.js";
export * from "./tableState.js";
export * from "./wire.js";
