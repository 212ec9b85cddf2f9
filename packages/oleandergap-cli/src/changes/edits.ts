/** Edits of one change: the new value of each cell and its expected current value. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { ChangeInput } from "oleandergap-operator";
import type { CellAddress, Cells, CellValue } from "oleandergap-types";
import type { Expectation } from "../notation/assignment.js";
import { createNotationError, formatCell, type NotationError } from "../notation/cellNotation.js";

/** Change of one cell. An absent value empties the cell. */
export interface Edit {
    readonly cell: CellAddress;
    readonly value?: CellValue;
}

type CellEdit = ChangeInput["edits"][number];

/** Edit with the expected current value of its cell, so that a concurrent change is detected as a conflict. */
export interface ConditionalEdit extends CellEdit {
    readonly expected: NonNullable<CellEdit["expected"]>;
}

const findDuplicate = (cells: readonly CellAddress[]): CellAddress | undefined =>
    cells.find((cell, index) => cells.indexOf(cell) !== index);

/** Rejects duplicate cells and expectations for cells that are not edited. */
export const validateEdits = (
    edits: readonly Edit[],
    expectations: readonly Expectation[],
): Either<NotationError, void> => {
    const editedCells = edits.map((edit) => edit.cell);
    const expectedCells = expectations.map((expectation) => expectation.cell);
    const duplicate = findDuplicate(editedCells) ?? findDuplicate(expectedCells);
    if (duplicate !== undefined) {
        return either.left(createNotationError(formatCell(duplicate), "the cell is listed twice"));
    }
    const unmatchedCell = expectedCells.find((cell) => !editedCells.includes(cell));
    return unmatchedCell === undefined ?
        either.right(undefined) :
        either.left(createNotationError(formatCell(unmatchedCell), "an expected value is given for a cell that is not changed"));
};

const toExpectedState = (value: CellValue | undefined): ConditionalEdit["expected"] =>
    value === undefined ? { kind: "Empty" } : { kind: "Value", value };

const readCell = (cells: Cells, cell: CellAddress): CellValue | undefined =>
    Object.hasOwn(cells, cell) ? cells[cell] : undefined;

/** Adds to each edit its stated expected value or, when none is stated, the value of the cell in `current`. */
export const addExpectedValues = (
    edits: readonly Edit[],
    expectations: readonly Expectation[],
    current: Cells,
): readonly ConditionalEdit[] =>
    edits.map((edit) => {
        const statedExpectation = expectations.find((expectation) => expectation.cell === edit.cell);
        const expected = statedExpectation === undefined ? readCell(current, edit.cell) : statedExpectation.value;
        return { ...edit, expected: toExpectedState(expected) };
    });

/** Returns the value that the edit expects its cell to have; undefined for an empty cell. */
export const getExpectedValue = ({ expected }: ConditionalEdit): CellValue | undefined =>
    expected.kind === "Value" ? expected.value : undefined;
