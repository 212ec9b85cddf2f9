/**
 * Notation of cells on the command line and in files.
 *
 * `SERVICE.COLUMN` and `SERVICE.weights.ZONE` are short for `services/SERVICE/COLUMN` and
 * `services/SERVICE/weights/ZONE`. Every other cell is written with its full address. Names contain neither dots nor
 * slashes, so the two forms are unambiguous.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { cellAddressSchema, keyDigestSchema, type CellAddress } from "oleandergap-types";

/** Text that could not be parsed, with a description of the problem for the operator. */
export interface NotationError {
    readonly kind: "BadNotation";
    readonly text: string;
    readonly problem: string;
}

/** Creates the error for `text`. */
export const createNotationError = (text: string, problem: string): NotationError =>
    ({ kind: "BadNotation", text, problem });

const SERVICES_SHEET = "services";
const SHORT_FORM_PATTERN = /^[A-Za-z0-9-]+(\.[A-Za-z0-9-]+){1,2}$/;
const SHORT_FORM_PART_COUNTS: ReadonlySet<number> = new Set([2, 3]);

const KEY_CELL_PATTERN = /^customers\/[^/]*\/keys\/(.*)$/s;

/** Returns whether the address names a key by something else than its digest, which may be the key itself. */
const mayContainKey = (address: string): boolean => {
    const digest = KEY_CELL_PATTERN.exec(address)?.[1];
    return digest !== undefined && !keyDigestSchema.safeParse(digest).success;
};

/** Parses the short form or the full address and returns the full address. */
export const parseCell = (text: string): Either<NotationError, CellAddress> => {
    const address = SHORT_FORM_PATTERN.test(text) ? `${SERVICES_SHEET}/${text.replaceAll(".", "/")}` : text;
    if (mayContainKey(address)) {
        return either.left(createNotationError(
            "customers/NAME/keys",
            "a key is named by its SHA-256 digest; use oleandergap customers add-keys, which computes it",
        ));
    }
    const result = cellAddressSchema.safeParse(address);
    return result.success ?
        either.right(result.data) :
        either.left(createNotationError(
            text,
            "not a cell; write SERVICE.COLUMN, SERVICE.weights.ZONE, or an address such as limits/filing/concurrency",
        ));
};

/** Formats an address in the shortest form that {@link parseCell} can parse. */
export const formatCell = (address: CellAddress): string => {
    const [sheet, ...parts] = address.split("/");
    return sheet === SERVICES_SHEET && SHORT_FORM_PART_COUNTS.has(parts.length) ? parts.join(".") : address;
};
