/**
 * Partner configuration: versions of the table, its validation, the acceptance of changes, and the active versions of a
 * node.
 */
export * from "./change/changeError.js";
export { pageRequestSchema, type ChangeLog, type Page, type PageRequest } from "./change/changeLog.js";
export * from "./change/changeRequest.js";
export * from "./change/changeService.js";
export type { FindDocument } from "./change/documentLoader.js";
export * from "./change/options.js";
export * from "./platform/configurationSource.js";
export type { AuditEntry, HeadRow } from "./platform/layout.js";
export * from "./store/configurationStore.js";
export type { OfferOutcome } from "./store/partnerStore.js";
export { parseTable } from "./table/parseTable.js";
export * from "./table/tableProblem.js";
export { applyDeltas, createNextVersion, listRowChanges, type NextVersion } from "./version/delta.js";
export { computeDigest } from "./version/digest.js";
export { readCell, type CellEntry } from "./version/rowIndex.js";
export * from "./version/document.js";
export * from "./version/versionError.js";
