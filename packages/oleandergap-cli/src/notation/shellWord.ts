/** Quoting of command-line arguments for a shell. */

const PLAIN_WORD_PATTERN = /^[A-Za-z0-9_./:=@%+,-]+$/;

/** Returns the word unchanged, or in single quotes when a shell would interpret it differently. */
export const quoteShellWord = (word: string): string =>
    PLAIN_WORD_PATTERN.test(word) ? word : `'${word.replaceAll("'", "'\\''")}'`;
