/** Exit codes of the command line. They are part of its documented interface. */
import type { OperatorError } from "oleandergap-operator";

/** The command succeeded. */
export const EXIT_OK = 0;
/** Any other failure, for example an item was not found, a version was not in force in time, or a node had an error. */
export const EXIT_FAILURE = 1;
/** The command line or the settings are invalid. Nothing was sent. */
export const EXIT_USAGE = 2;
/** A cell does not have the expected value, or the change id was used for another change. */
export const EXIT_CONFLICT = 3;
/** The resulting table would be rejected, or the input is malformed. */
export const EXIT_INVALID = 4;
/** The credential is missing, was rejected or does not permit the request. */
export const EXIT_REFUSED = 5;
/** No node could be reached, or no reachable node could reach the platform. Nothing was changed. */
export const EXIT_UNREACHABLE = 6;
/** The change may or may not have been accepted. Repeat it under the same change id. */
export const EXIT_UNKNOWN_OUTCOME = 7;
/** Too many requests or concurrent changes. Nothing was changed, and the command can be retried after a delay. */
export const EXIT_TRY_LATER = 8;

/** Returns the exit code for an error. */
export const toExitCode = (error: OperatorError): number => {
    switch (error.kind) {
        case "Conflict":
        case "ChangeIdReused":
            return EXIT_CONFLICT;
        case "Invalid":
        case "BadRequest":
            return EXIT_INVALID;
        case "Unauthenticated":
        case "Forbidden":
            return EXIT_REFUSED;
        case "PlatformUnavailable":
        case "NotReady":
        case "NodeUnreachable":
            return EXIT_UNREACHABLE;
        case "OutcomeUnknown":
            return EXIT_UNKNOWN_OUTCOME;
        case "OverBudget":
        case "Contended":
            return EXIT_TRY_LATER;
        case "NotFound":
        case "Damaged":
        case "Internal":
            return EXIT_FAILURE;
    }
};
