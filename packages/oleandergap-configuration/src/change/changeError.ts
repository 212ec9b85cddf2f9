/** Errors of changes that were not accepted or whose outcome is unknown. */
import type { CellAddress, CellValue, Head, PlatformError } from "oleandergap-types";
import type { TableProblem } from "../table/tableProblem.js";

/** A cell that does not have the value which the change expects. A missing value means an empty cell. */
export interface CellConflict {
    readonly cell: CellAddress;
    readonly expected?: CellValue;
    readonly actual?: CellValue;
    readonly proposed?: CellValue;
}

/** Error of a change. Each kind states whether anything was written. */
export type ChangeError =
    | { readonly kind: "BadRequest"; readonly detail: string }
    /** The change would make the table invalid. Nothing was written. */
    | { readonly kind: "Invalid"; readonly base: Head; readonly problems: readonly TableProblem[] }
    /** Cells of the change do not have the expected values. Nothing was written. */
    | { readonly kind: "Conflict"; readonly base: Head; readonly conflicts: readonly CellConflict[] }
    /** The change id was already used by a different change. */
    | { readonly kind: "ChangeIdReused"; readonly changeId: string }
    /** The budget of the partner or the read budget of this node is exhausted. Nothing was written. */
    | { readonly kind: "OverBudget"; readonly retryAfterMs: number }
    /** Each attempt lost against a concurrent change of the same partner. Nothing was written. */
    | { readonly kind: "Contended"; readonly retryAfterMs: number }
    /** The platform did not respond. Nothing was written. */
    | { readonly kind: "Unavailable"; readonly detail: string }
    /** The change may have been accepted. Retrying it with the same id is safe and returns the outcome. */
    | { readonly kind: "OutcomeUnknown"; readonly changeId: string; readonly detail: string }
    /** The rows of the platform are inconsistent and must be repaired manually. */
    | { readonly kind: "Damaged"; readonly detail: string };

/** Converts the error of a read. A read never has an unknown outcome. */
export const toReadError = (error: PlatformError): ChangeError =>
    error.kind === "OverBudget" ? error : { kind: "Unavailable", detail: error.detail };
