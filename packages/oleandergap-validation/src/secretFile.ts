/** Reads secrets from files that only the owner of the file may read. */
import { open, type FileHandle } from "node:fs/promises";
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";

/** Permission bits of group and others. */
const GROUP_AND_OTHERS_MASK = 0o077;
const PERMISSION_MASK = 0o777;
const OCTAL_RADIX = 8;
/** Maximum size of a secret file. Larger files contain no secret and are not read. */
const MAX_FILE_BYTES = 1024;

/** Reason why a secret file cannot be used. It never includes the content of the file. */
export type SecretFileError =
    | { readonly kind: "ReadableByOthers"; readonly file: string; readonly mode: number }
    | { readonly kind: "Unreadable"; readonly file: string; readonly code: string }
    | { readonly kind: "TooLarge"; readonly file: string; readonly limitBytes: number };

/** Formats an error as one or two sentences; `name` is the kind of secret in the file, for example `credential`. */
export const formatSecretFileError = (name: string, error: SecretFileError): string => {
    switch (error.kind) {
        case "ReadableByOthers": {
            const octalMode = error.mode.toString(OCTAL_RADIX).padStart(4, "0");
            return `Others can read the ${name} file ${error.file} (mode ${octalMode}). Run: chmod 600 ${error.file}`;
        }
        case "Unreadable":
            return `The ${name} file ${error.file} cannot be read (${error.code}).`;
        case "TooLarge":
            return `The ${name} file ${error.file} is longer than ${error.limitBytes} bytes.`;
    }
};

const readOpenedFile = async (file: string, handle: FileHandle): Promise<Either<SecretFileError, string>> => {
    // The check uses the opened file instead of its path, because the path could lead to another file before the read.
    const { mode, size } = await handle.stat();
    if ((mode & GROUP_AND_OTHERS_MASK) !== 0) {
        return either.left({ kind: "ReadableByOthers", file, mode: mode & PERMISSION_MASK });
    }
    if (size > MAX_FILE_BYTES) {
        return either.left({ kind: "TooLarge", file, limitBytes: MAX_FILE_BYTES });
    }
    return either.right(await handle.readFile("utf8"));
};

/** Reads the text in `file`. Returns an error if group or others may read the file. */
export const readSecretFile = (file: string): TaskEither<SecretFileError, string> => async () => {
    let handle: FileHandle | undefined;
    try {
        handle = await open(file, "r");
        return await readOpenedFile(file, handle);
    }
    catch (error) {
        const code = error instanceof Error && "code" in error ? String(error.code) : "unknown error";
        return either.left({ kind: "Unreadable", file, code });
    }
    finally {
        await handle?.close();
    }
};
