/** Format of operators' credentials and of their keys in the platform's table, which stores only hashes of them. */
import { createHash, randomBytes } from "node:crypto";

/** Random bytes in a credential. They are enough to prevent a brute-force search against a fast unsalted hash. */
const CREDENTIAL_BYTES = 32;
const CREDENTIAL_PREFIX = "ogop_";
const CREDENTIAL_PATTERN = /^ogop_[A-Za-z0-9_-]{43}$/;
const BEARER_PATTERN = /^Bearer +([^ ]+) *$/i;
/** Maximum length of an accepted Authorization header, in characters. */
const MAX_AUTHORIZATION_LENGTH = 256;
const OPERATOR_KEY_PREFIX = "operators/";

/** Generates a new credential. The caller must store it in a file and must not print it. */
export const generateCredential = (): string =>
    CREDENTIAL_PREFIX + randomBytes(CREDENTIAL_BYTES).toString("base64url");

/** Returns whether `credential` has the format of {@link generateCredential}. */
export const isWellFormedCredential = (credential: string): boolean => CREDENTIAL_PATTERN.test(credential);

/** Returns the hash that identifies a credential in caches and in the platform's table. It cannot be reversed. */
export const hashCredential = (credential: string): string =>
    createHash("sha256").update(credential, "utf8").digest("hex");

/** Returns the key of the table row that stores the identity for a credential. */
export const formatOperatorKey = (credentialHash: string): string => OPERATOR_KEY_PREFIX + credentialHash;

/** Returns the credential in an Authorization header, or an empty string when there is none. */
export const readBearerCredential = (authorization: string | undefined): string => {
    if (authorization === undefined || authorization.length > MAX_AUTHORIZATION_LENGTH) {
        return "";
    }
    return BEARER_PATTERN.exec(authorization)?.[1] ?? "";
};
