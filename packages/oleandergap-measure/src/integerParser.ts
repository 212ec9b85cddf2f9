/** Parses integers on the command line. */
import { InvalidArgumentError } from "commander";

/** Creates a parser of an option that rejects whatever is no integer from `minimum` to `maximum`. */
export const createIntegerParser = (minimum: number, maximum: number) => (text: string): number => {
    const value = Number(text);
    if (!Number.isInteger(value) || value < minimum || value > maximum) {
        throw new InvalidArgumentError(`use an integer from ${minimum} to ${maximum}`);
    }
    return value;
};
