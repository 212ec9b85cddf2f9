/** Reads the operator's credential from a file that only its owner can read. */
import * as either from "fp-ts/lib/Either.js";
import type { TaskEither } from "fp-ts/lib/TaskEither.js";
import { isWellFormedCredential } from "oleandergap-operator";
import { formatSecretFileError, readSecretFile } from "oleandergap-validation";

/** Reason why no credential could be read from a file. */
export interface CredentialFileError {
    readonly kind: "BadCredentialFile";
    /** Message for the operator. It never contains content of the file. */
    readonly problem: string;
}

/** Reads the credential in `file`. A file that the group or others may read is rejected. */
export const readCredentialFile = (file: string): TaskEither<CredentialFileError, string> => async () => {
    const text = await readSecretFile(file)();
    if (either.isLeft(text)) {
        return either.left({ kind: "BadCredentialFile", problem: formatSecretFileError("credential", text.left) });
    }
    const content = text.right.trim();
    return isWellFormedCredential(content) ?
        either.right(content) :
        either.left({ kind: "BadCredentialFile", problem: `The file ${file} does not contain a credential.` });
};
