/** Reading and validation of settings files and secret files. */
export * from "./loadSettings.js";
export * from "./secretFile.js";
export * from "./settingsError.js";
