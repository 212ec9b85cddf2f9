/**
 * Escapes text for output to a terminal. A cell or a name may contain control characters. Without escaping, they could
 * move the cursor, or recolour or hide the surrounding text, and the terminal would show the operator wrong content.
 */

/** Control characters, surrogates, line separators, invisible characters and marks that change the text direction. */
const UNSAFE_PATTERN =
    /[\p{Cc}\p{Cs}\u061c\u200b-\u200f\u2028-\u202e\u2060-\u2069\ufeff]/gu;
const HEXADECIMAL = 16;
const ESCAPE_DIGITS = 4;

const escapeCharacter = (character: string): string =>
    `\\u${character.charCodeAt(0).toString(HEXADECIMAL).padStart(ESCAPE_DIGITS, "0")}`;

/** Returns whether {@link escapeText} would change `text`. */
export const hasUnsafeCharacters = (text: string): boolean => text.search(UNSAFE_PATTERN) >= 0;

/** Returns the text on one line, with every unsafe character written as `\uXXXX`. */
export const escapeText = (text: string): string => text.replace(UNSAFE_PATTERN, escapeCharacter);

/** Formats `value` as JSON on several lines with every unsafe character escaped. The JSON parses to the same value. */
export const formatJson = (value: unknown): string =>
    JSON.stringify(value, undefined, 2).split("\n").map(escapeText).join("\n");
