/** Schemas, types and ports that every other package depends on. */
export * from "./clock.js";
export * from "./customer.js";
export * from "./headers.js";
export * from "./member.js";
export * from "./names.js";
export * from "./platform.js";
export * from "./sentShare.js";
export * from "./storePosition.js";
export * from "./table.js";
export * from "./targetFeedback.js";
export * from "./verdict.js";
