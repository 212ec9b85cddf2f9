/** Containment of requests that crash the targets that run them. */
export { computeFingerprint, fingerprintSchema, type Fingerprint, type FingerprintedRequest } from "./fingerprint.js";
