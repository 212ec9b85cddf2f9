/** Conversion of errors of changes and of reads of the change history into operators' errors. */
import { formatTableProblem, type CellConflict, type ChangeError, type TableProblem } from "oleandergap-configuration";
import type { CellConflictView, OperatorError, TableProblemView } from "../schemas/operatorError.js";

const toConflictView = ({ cell, expected, actual, proposed }: CellConflict): CellConflictView => ({
    cell,
    ...expected === undefined ? {} : { expected },
    ...actual === undefined ? {} : { found: actual },
    ...proposed === undefined ? {} : { proposed },
});

const toProblemView = (problem: TableProblem): TableProblemView => ({
    cell: "cell" in problem ? problem.cell : "",
    problem: formatTableProblem(problem),
});

/** Converts an error of the change service into an error of the operators' interface. */
export const convertChangeError = (error: ChangeError): OperatorError => {
    switch (error.kind) {
        case "BadRequest":
            return { kind: "BadRequest", issues: [{ path: "", problem: error.detail }] };
        case "Invalid":
            return { kind: "Invalid", problems: error.problems.map(toProblemView) };
        case "Conflict":
            return { kind: "Conflict", conflicts: error.conflicts.map(toConflictView) };
        case "Unavailable":
            return { kind: "PlatformUnavailable", detail: error.detail };
        case "ChangeIdReused":
        case "OverBudget":
        case "Contended":
        case "OutcomeUnknown":
        case "Damaged":
            return error;
    }
};
