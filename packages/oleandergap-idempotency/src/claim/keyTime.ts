/**
 * Checks the age of keys that contain a timestamp (UUIDv7). Rows are deleted after their retention time; a request that
 * is repeated later would find no row and run a second time. For this reason a key with a timestamp is refused from
 * some time before its row may be deleted. For keys without a timestamp, the callers must stop repeating them within
 * the retention time.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Milliseconds, RequestFailure } from "oleandergap-types";
import type { ClaimOptions } from "../options.js";
import { readKeyTime } from "./claimKey.js";
import { createFutureKeyFailure, createDuplicateFailure } from "./failures.js";

/** Share of the retention time after which a key is refused; the rest covers differences between wall clocks. */
const ACCEPTED_SHARE_OF_RETENTION = 0.9;

/** Returns the key if its timestamp allows a claim, else the failure for the caller. */
export const checkKeyTime = (
    key: string,
    now: Milliseconds,
    options: Pick<ClaimOptions, "retentionMs" | "keyClockToleranceMs" | "duplicateRetryAfterMs">,
): Either<RequestFailure, string> => {
    const time = readKeyTime(key);
    if (time === undefined) {
        return either.right(key);
    }
    if (time > now + options.keyClockToleranceMs) {
        return either.left(createFutureKeyFailure());
    }
    const isTooOld = now - time > options.retentionMs * ACCEPTED_SHARE_OF_RETENTION;
    return isTooOld ? either.left(createDuplicateFailure(options.duplicateRetryAfterMs)) : either.right(key);
};
