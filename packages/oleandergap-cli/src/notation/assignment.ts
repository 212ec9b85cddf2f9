/** Notation `CELL=VALUE`: a cell with its new value or its expected current value. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { pipe } from "fp-ts/lib/function.js";
import type { CellAddress, CellValue } from "oleandergap-types";
import { createNotationError, formatCell, parseCell, type NotationError } from "./cellNotation.js";
import { formatValue, parseValue } from "./valueNotation.js";

/** Cell with its new value. */
export interface Assignment {
    readonly cell: CellAddress;
    readonly value: CellValue;
}

/** Cell with its expected current value. An absent value means an empty cell. */
export interface Expectation {
    readonly cell: CellAddress;
    readonly value?: CellValue;
}

const SEPARATOR = "=";

const splitAssignment = (text: string): Either<NotationError, readonly [cell: string, value: string]> => {
    const position = text.indexOf(SEPARATOR);
    return position < 0 ?
        either.left(createNotationError(text, "write CELL=VALUE, for example grant-filer.weights.hall-a=50")) :
        either.right([text.slice(0, position), text.slice(position + SEPARATOR.length)]);
};

const parseParts = ([cell, value]: readonly [string, string]): Either<NotationError, Assignment> => pipe(
    parseCell(cell),
    either.chain((address) => pipe(
        parseValue(value),
        either.map((parsed) => ({ cell: address, value: parsed })),
    )),
);

/** Parses `CELL=VALUE`. A missing value is rejected. */
export const parseAssignment = (text: string): Either<NotationError, Assignment> => pipe(
    splitAssignment(text),
    either.filterOrElse(
        ([, value]) => value !== "",
        () => createNotationError(text, "a value is missing; use unset to empty a cell, or =\"\" to set an empty text"),
    ),
    either.chain(parseParts),
);

/** Parses `CELL=VALUE`, or `CELL=` for an empty cell. */
export const parseExpectation = (text: string): Either<NotationError, Expectation> => pipe(
    splitAssignment(text),
    either.chain(([cell, value]): Either<NotationError, Expectation> => value === "" ?
        either.map((address: CellAddress) => ({ cell: address }))(parseCell(cell)) :
        parseParts([cell, value])),
);

/** Formats an assignment so that {@link parseAssignment} can parse it. */
export const formatAssignment = ({ cell, value }: Assignment): string =>
    `${formatCell(cell)}${SEPARATOR}${formatValue(value)}`;

/** Formats an expectation so that {@link parseExpectation} can parse it. */
export const formatExpectation = ({ cell, value }: Expectation): string =>
    value === undefined ? `${formatCell(cell)}${SEPARATOR}` : formatAssignment({ cell, value });
