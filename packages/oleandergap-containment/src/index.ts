/** Containment of requests that crash the targets that run them. */
export * from "./containment.js";
export { crashIdSchema, type CrashId, type CrashReport, type GoodRun, type Judgement } from "./evidence.js";
export type { ContainedRequest } from "./evidenceStore.js";
export { evidenceMessageSchema, type EvidenceMessage } from "./evidenceMessage.js";
export type { EvidenceNetwork } from "./evidenceGossip.js";
export { computeFingerprint, fingerprintSchema, type Fingerprint, type FingerprintedRequest } from "./fingerprint.js";
export { containmentOptionsSchema, defaultContainmentOptions, type ContainmentOptions } from "./options.js";
