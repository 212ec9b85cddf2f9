/** Idempotency keys of callers: their format, the keys of their rows in the table, and the time in UUIDv7 keys. */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import { formatServiceReference, type Milliseconds, type RequestFailure, type ServiceReference } from "oleandergap-types";

/**
 * Shortest accepted key, in characters. Shorter keys collide by accident: two callers that both use a counter from 1
 * would receive the responses to each other's requests.
 */
export const MIN_KEY_LENGTH = 8;
/** Longest accepted key, in characters. */
export const MAX_KEY_LENGTH = 128;

const KEY_PATTERN = /^[A-Za-z0-9._~:+=-]+$/;
const QUOTED_PATTERN = /^"(.*)"$/;
const UUID_V7_PATTERN = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const HEXADECIMAL = 16;

/**
 * Parses and validates the value of the `idempotency-key` header. The quoted form of the IETF draft and the unquoted
 * form are both accepted and denote the same key.
 */
export const parseIdempotencyKey = (text: string): Either<RequestFailure, string> => {
    const key = QUOTED_PATTERN.exec(text)?.[1] ?? text;
    const isValid = key.length >= MIN_KEY_LENGTH && key.length <= MAX_KEY_LENGTH && KEY_PATTERN.test(key);
    return isValid ?
        either.right(key) :
        either.left({
            kind: "BadRequest",
            verdict: "notRun",
            detail: `an idempotency key has ${MIN_KEY_LENGTH} to ${MAX_KEY_LENGTH} letters, digits or . _ ~ : + = -`,
        });
};

/** Returns the prefix of the keys of all claim rows of a service. */
export const formatClaimPrefix = (reference: ServiceReference): string => `claims/${formatServiceReference(reference)}/`;

/** Returns the key of the row that stores the claim of the idempotency key `key`. */
export const formatClaimRowKey = (reference: ServiceReference, key: string): string =>
    `${formatClaimPrefix(reference)}${key}`;

/**
 * Returns the wall-clock time in a UUIDv7 key, in milliseconds since the Unix epoch, or undefined for any other key.
 */
export const readKeyTime = (key: string): Milliseconds | undefined => {
    const match = UUID_V7_PATTERN.exec(key.toLowerCase());
    return match === null ? undefined : Number.parseInt(`${match[1]}${match[2]}`, HEXADECIMAL);
};
