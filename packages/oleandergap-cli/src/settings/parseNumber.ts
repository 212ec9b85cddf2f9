/** Parsers for numeric options. */
import { InvalidArgumentError } from "commander";

const WHOLE_NUMBER_PATTERN = /^(0|[1-9][0-9]{0,14})$/;

/** Creates a parser of whole numbers from `minimum` to `maximum`. Commander reports its errors as usage errors. */
export const createNumberParser = (minimum: number, maximum = Number.MAX_SAFE_INTEGER) => (text: string): number => {
    const value = WHOLE_NUMBER_PATTERN.test(text) ? Number(text) : Number.NaN;
    if (!(value >= minimum && value <= maximum)) {
        const range = maximum === Number.MAX_SAFE_INTEGER ? `from ${minimum}` : `from ${minimum} to ${maximum}`;
        throw new InvalidArgumentError(`Must be a whole number ${range}.`);
    }
    return value;
};

const MAX_WAIT_SECONDS = 3600;

/** Parses the maximum time that a command waits, in seconds. */
export const parseSeconds = createNumberParser(1, MAX_WAIT_SECONDS);
