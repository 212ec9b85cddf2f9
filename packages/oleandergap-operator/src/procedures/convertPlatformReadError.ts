/** Conversion of errors of reads from the platform into operators' errors. */
import type { PlatformError } from "oleandergap-types";
import type { OperatorError } from "../schemas/operatorError.js";

/** Converts the error of a read. It is not suitable for writes: a read with an unknown outcome counts as failed. */
export const convertPlatformReadError = (error: PlatformError): OperatorError =>
    error.kind === "OverBudget" ?
        { kind: "OverBudget", retryAfterMs: error.retryAfterMs } :
        { kind: "PlatformUnavailable", detail: error.detail };
