/** Errors of versions that were not activated. */
import type { Digest, PartnerName, Sequence } from "oleandergap-types";
import { formatTableProblem, type TableProblem } from "../table/tableProblem.js";

/** Error of a version, with the reason why the version was refused. */
export type VersionError =
    /** The content does not match the digest: it was damaged during transfer or assembled incorrectly. */
    | {
        readonly kind: "DigestMismatch";
        readonly partner: PartnerName;
        readonly sequence: Sequence;
        readonly expected: Digest;
        readonly actual: Digest;
    }
    /** The delta does not extend the active version. A later delta or the complete document may be applicable. */
    | {
        readonly kind: "NotExtending";
        readonly partner: PartnerName;
        readonly heldSequence: Sequence;
        readonly offeredSequence: Sequence;
        readonly detail: string;
    }
    /**
     * Two different versions have the same sequence. Neither replaces the other; a version with a higher sequence
     * replaces both.
     */
    | {
        readonly kind: "Divergence";
        readonly partner: PartnerName;
        readonly sequence: Sequence;
        readonly held: Digest;
        readonly offered: Digest;
    }
    /** The content is undamaged but the table is invalid. */
    | {
        readonly kind: "Invalid";
        readonly partner: PartnerName;
        readonly sequence: Sequence;
        readonly digest: Digest;
        readonly problems: readonly TableProblem[];
    }
    /** The settings of this node do not contain the partner. */
    | { readonly kind: "UnknownPartner"; readonly partner: PartnerName };

/** Maximum number of problems that a message contains. */
const MAX_PROBLEMS_SHOWN = 3;

const formatProblems = (problems: readonly TableProblem[]): string => {
    const shown = problems.slice(0, MAX_PROBLEMS_SHOWN).map(formatTableProblem).join("; ");
    const hidden = problems.length - MAX_PROBLEMS_SHOWN;
    return hidden > 0 ? `${shown}; and ${hidden} more` : shown;
};

/** Formats an error as a clause for logs, without a full stop. */
export const formatVersionError = (error: VersionError): string => {
    switch (error.kind) {
        case "DigestMismatch":
            return `version ${error.sequence} of ${error.partner} does not match its digest`;
        case "NotExtending":
            return `version ${error.offeredSequence} of ${error.partner} does not extend version ` +
                `${error.heldSequence}: ${error.detail}`;
        case "Divergence":
            return `version ${error.sequence} of ${error.partner} exists twice with different content`;
        case "Invalid":
            return `version ${error.sequence} of ${error.partner} is invalid: ${formatProblems(error.problems)}`;
        case "UnknownPartner":
            return `there is no partner ${error.partner}`;
    }
};
