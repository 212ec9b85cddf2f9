/** Sends one change and reports its outcome. The commands `set`, `unset` and `apply` share this module. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { pipe } from "fp-ts/lib/function.js";
import type { ChangeOutcomeView, OperatorError } from "oleandergap-operator";
import type { CellChange } from "oleandergap-types";
import { formatGlobalOptions } from "../settings/globalOptions.js";
import { formatExpectation, type Expectation } from "../notation/assignment.js";
import type { ChangeOptions } from "./changeOptions.js";
import { validateEdits, getExpectedValue, addExpectedValues, type Edit, type ConditionalEdit } from "./edits.js";
import { quoteShellWord } from "../notation/shellWord.js";
import { formatChanges } from "../output/changeLines.js";
import { reportSuccess, reportNotationError, reportOperatorError, type CommandReport } from "../report/report.js";
import type { CommandSession } from "../runCommand.js";
import { waitUntilInForce } from "../fleet/waitUntilInForce.js";

/** Change as requested by the operator, before the current values of the cells are read. */
export interface PlannedChange {
    readonly edits: readonly Edit[];
    readonly expectations: readonly Expectation[];
    /** The command with its arguments, used to show how to repeat it. */
    readonly commandArguments: readonly string[];
}

const toCellChange = (edit: ConditionalEdit): CellChange => {
    const before = getExpectedValue(edit);
    return {
        cell: edit.cell,
        ...before === undefined ? {} : { before },
        ...edit.value === undefined ? {} : { after: edit.value },
    };
};

const toExpectArguments = (edit: ConditionalEdit): readonly string[] => {
    const value = getExpectedValue(edit);
    const expectation: Expectation = { cell: edit.cell, ...value === undefined ? {} : { value } };
    return ["--expect", quoteShellWord(formatExpectation(expectation))];
};

/**
 * Formats the command line that repeats a change under its id. It includes the value that each cell was expected to
 * have: a new read could already return the values that this change wrote, and the repeat would be a different change.
 */
const formatRepeatCommand = (
    { globalOptions }: CommandSession,
    { commandArguments }: PlannedChange,
    edits: readonly ConditionalEdit[],
    changeId: string,
): string => [
    "oleandergap",
    ...formatGlobalOptions(globalOptions),
    ...commandArguments.map(quoteShellWord),
    ...edits.flatMap(toExpectArguments),
    "--change-id",
    changeId,
].join(" ");

const reportChangeError = (error: OperatorError, repeatCommand: string): CommandReport => {
    const report = reportOperatorError(error);
    if (error.kind !== "OutcomeUnknown" || report.kind !== "Failed") {
        return report;
    }
    const lines = [
        ...report.lines,
        "To get its outcome, or to make the change if it was not accepted, run exactly this command:",
        `  ${repeatCommand}`,
    ];
    return { ...report, lines, error: { ...report.error, ...{ repeatCommand } } };
};

const formatOutcome = ({ kind, partner, sequence, changeId, repeated }: ChangeOutcomeView): string => {
    const changeLabel = repeated ? "earlier, under the same change id" : `change ${changeId}`;
    return kind === "Accepted" ?
        `Accepted as version ${sequence} of ${partner} (${changeLabel}).` :
        `Nothing to change: version ${sequence} of ${partner} already has these values (${changeLabel}).`;
};

/** Adds the expected values to the edits. Reads the table only when an edit has no stated expectation. */
const resolveExpectedValues = async (
    { client }: CommandSession,
    { edits, expectations }: PlannedChange,
): Promise<Either<OperatorError, readonly ConditionalEdit[]>> => {
    if (edits.length === expectations.length) {
        return either.right(addExpectedValues(edits, expectations, {}));
    }
    const table = await client.getTable({ source: "accepted" })();
    return pipe(table, either.map(({ cells }) => addExpectedValues(edits, expectations, cells)));
};

/** Sends the change and, with the option `wait`, waits until it is in force on every node. */
export const sendChange = async (
    session: CommandSession,
    plannedChange: PlannedChange,
    options: ChangeOptions,
): Promise<CommandReport> => {
    const validated = validateEdits(plannedChange.edits, plannedChange.expectations);
    if (either.isLeft(validated)) {
        return reportNotationError(validated.left);
    }
    const conditionalEdits = await resolveExpectedValues(session, plannedChange);
    if (either.isLeft(conditionalEdits)) {
        return reportOperatorError(conditionalEdits.left);
    }
    const edits = conditionalEdits.right;
    const changeId = options.changeId ?? session.environment.createChangeId();
    const outcome = await session.client.acceptChange({ changeId, edits: [...edits] })();
    if (either.isLeft(outcome)) {
        return reportChangeError(outcome.left, formatRepeatCommand(session, plannedChange, edits, changeId));
    }
    const changes = edits.map(toCellChange).filter(({ before, after }) => before !== after);
    const lines = [formatOutcome(outcome.right), ...formatChanges(changes)];
    const result = { ...outcome.right, changes };
    return options.wait === true ?
        waitUntilInForce(session, { ...outcome.right, result, lines, timeoutSeconds: options.timeout }) :
        reportSuccess(result, lines);
};
