/** Clocks, time limits, token buckets, hashing, random numbers and other small helpers. */
export * from "./backgroundClock.js";
export * from "./canonicalJson.js";
export * from "./clock.js";
export * from "./decayingCounters.js";
export * from "./describeError.js";
export * from "./gossipNetwork.js";
export * from "./readAwareTimer.js";
export * from "./keyDigest.js";
export * from "./manualClock.js";
export * from "./peerBootstrap.js";
export * from "./random.js";
export * from "./rendezvousHash.js";
export * from "./inactivityTimeout.js";
export * from "./sleep.js";
export * from "./splitIntoChunks.js";
export * from "./timeLimit.js";
export * from "./tokenBucket.js";
