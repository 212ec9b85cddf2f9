/** Describes errors of an input, for the response to its sender. */
import { describeError } from "oleandergap-utils";
import { z } from "zod";

/** Returns one line per invalid value for a schema error, and the message of any other error. */
export const describeInputError = (error: unknown): string =>
    error instanceof z.ZodError ? z.prettifyError(error) : describeError(error);
