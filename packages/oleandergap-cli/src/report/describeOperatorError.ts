/** Messages for errors: what happened, whether anything was changed and what to do next. */
import type { CellConflictView, FailedAttempt, OperatorError } from "oleandergap-operator";
import { MILLISECONDS_PER_SECOND, type Milliseconds } from "oleandergap-types";
import { formatCell } from "../notation/cellNotation.js";
import { formatOptionalValue } from "../notation/valueNotation.js";

const describeConflict = ({ cell, expected, found }: CellConflictView): string =>
    `  ${formatCell(cell)}: expected ${formatOptionalValue(expected)}, found ${formatOptionalValue(found)}`;

const describeAttempt = ({ node, detail }: FailedAttempt): string => `  ${node}: ${detail}`;

const describeRetryDelay = (retryAfterMs: Milliseconds): string =>
    `Try again in ${(retryAfterMs / MILLISECONDS_PER_SECOND).toFixed(1)} s.`;

/** Describes an error in one or more lines. The first line is a complete message. */
export const describeOperatorError = (error: OperatorError): readonly string[] => {
    switch (error.kind) {
        case "Unauthenticated":
            return ["The credential was rejected: it is unknown, malformed or revoked."];
        case "Forbidden":
            return [`Not allowed: ${error.detail}.`];
        case "BadRequest":
            return ["The request is malformed.", ...error.issues.map(({ path, problem }) => `  ${path}: ${problem}`)];
        case "NotFound":
            return [`Not found: ${error.detail}.`];
        case "Conflict":
            return [
                "Conflict: a cell does not have the expected value. Nothing was changed.",
                ...error.conflicts.map(describeConflict),
                "Check the value that was found, then set the cell again if the change is still needed.",
            ];
        case "Invalid":
            return [
                "The table would be invalid. Nothing was changed.",
                ...error.problems.map(({ problem }) => `  ${problem}`),
            ];
        case "ChangeIdReused":
            return [`The change id ${error.changeId} belongs to another change. Nothing was changed by this command.`];
        case "OutcomeUnknown":
            return [`The outcome of change ${error.changeId} is unknown: it may or may not have been accepted.`, error.detail];
        case "PlatformUnavailable":
            return [`The platform cannot be reached: ${error.detail}. Nothing was changed.`];
        case "OverBudget":
            return ["Too many requests. Nothing was changed.", describeRetryDelay(error.retryAfterMs)];
        case "Contended":
            return [
                "Every attempt failed because of a concurrent change. Nothing was changed.",
                describeRetryDelay(error.retryAfterMs),
            ];
        case "NotReady":
            return [`No node is ready: ${error.detail}.`];
        case "NodeUnreachable":
            return ["No node returned a valid response.", ...error.attempts.map(describeAttempt)];
        case "Damaged":
            return [`The stored table is damaged and needs manual inspection: ${error.detail}.`];
        case "Internal":
            return [`Internal error in the node: ${error.detail}.`];
    }
};
