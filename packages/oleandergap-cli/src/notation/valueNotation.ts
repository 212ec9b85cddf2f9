/**
 * Notation of cell values: a JSON number is a number, a text in double quotes is parsed as a JSON string, and any other
 * text is used literally. Quotes are needed only for texts that could be parsed differently or that have unsafe
 * characters.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { cellValueSchema, MAX_CELL_TEXT_LENGTH, type CellValue } from "oleandergap-types";
import { escapeText, hasUnsafeCharacters } from "../output/escapeText.js";
import { createNotationError, type NotationError } from "./cellNotation.js";

const NUMBER_PATTERN = /^-?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?$/;
const QUOTE = "\"";

/** Text that is shown for an empty cell. */
export const EMPTY_CELL = "(empty)";

const parseQuoted = (text: string): unknown => {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
};

const readValue = (text: string): unknown => {
    if (NUMBER_PATTERN.test(text)) {
        return Number(text);
    }
    return text.startsWith(QUOTE) ? parseQuoted(text) : text;
};

/** Parses a number or a text. */
export const parseValue = (text: string): Either<NotationError, CellValue> => {
    const result = cellValueSchema.safeParse(readValue(text));
    return result.success ?
        either.right(result.data) :
        either.left(createNotationError(
            text,
            `not a value; write a number, or a text of at most ${MAX_CELL_TEXT_LENGTH} characters`,
        ));
};

const needsQuotes = (text: string): boolean =>
    text === "" ||
    text !== text.trim() ||
    text.startsWith(QUOTE) ||
    text === EMPTY_CELL ||
    NUMBER_PATTERN.test(text) ||
    hasUnsafeCharacters(text);

/** Formats a value so that {@link parseValue} returns the same value. The text is safe to show on a terminal. */
export const formatValue = (value: CellValue): string =>
    typeof value === "string" && !needsQuotes(value) ? value : escapeText(JSON.stringify(value));

/** Formats the value of a cell for text output. An empty cell is shown as {@link EMPTY_CELL}. */
export const formatOptionalValue = (value: CellValue | undefined): string =>
    value === undefined ? EMPTY_CELL : formatValue(value);
