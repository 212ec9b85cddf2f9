/** Distributes accepted configuration versions to every node of the fleet. */
export * from "./compactDelta.js";
export * from "./options.js";
export * from "./peerClient.js";
export * from "./peerError.js";
export * from "./peerRequestHandler.js";
export * from "./peerRouter.js";
export * from "./peerSchemas.js";
export * from "./ports.js";
export type { RecoveryOutcome } from "./recovery.js";
export * from "./spread.js";
export * from "./spreadMessage.js";
export * from "./spreadTransport.js";
export type { AppliedVersion, SpreadStatistics } from "./statistics.js";
