/** Fakes for tests that run several nodes in one process. */
export * from "./freezableClock.js";
export * from "./memoryNetwork.js";
