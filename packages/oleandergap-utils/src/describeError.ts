/** Texts of thrown values. JavaScript allows any value to be thrown. */

/** Returns the message of an `Error`, or any other value as text. */
export const describeError = (error: unknown): string => error instanceof Error ? error.message : String(error);
