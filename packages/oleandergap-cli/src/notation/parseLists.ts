/** Parses lists of assignments, expectations or cells. Only the first error of a list is reported. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { traverseArray } from "fp-ts/lib/Either.js";
import { parseAssignment, parseExpectation, type Assignment, type Expectation } from "./assignment.js";
import { parseCell, type NotationError } from "./cellNotation.js";
import type { Edit } from "../changes/edits.js";

const parseEach = <Parsed>(
    texts: readonly string[],
    parse: (text: string) => Either<NotationError, Parsed>,
): Either<NotationError, readonly Parsed[]> => traverseArray(parse)(texts);

/** Parses the new values of cells. */
export const parseAssignments = (texts: readonly string[]): Either<NotationError, readonly Assignment[]> =>
    parseEach(texts, parseAssignment);

/** Parses the expected current values of cells. */
export const parseExpectations = (texts: readonly string[]): Either<NotationError, readonly Expectation[]> =>
    parseEach(texts, parseExpectation);

/** Parses the cells to empty. */
export const parseRemovals = (texts: readonly string[]): Either<NotationError, readonly Edit[]> =>
    parseEach(texts, (text) => either.map((cell: string): Edit => ({ cell }))(parseCell(text)));
