/** Command line for operators. */
export type { Environment } from "./environment.js";
export * from "./report/exitCodes.js";
export { runCommandLine } from "./program.js";
export { commandLineSettingsSchema, type CommandLineSettings } from "./settings/settings.js";
