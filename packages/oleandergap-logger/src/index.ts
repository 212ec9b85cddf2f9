/** Loggers that write log lines with a fixed prefix for each component. */
export * from "./logger.js";
