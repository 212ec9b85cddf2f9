/** Records the versions that a node refused, so that the node does not fetch and validate them repeatedly. */
import type { Head } from "oleandergap-types";
import type { VersionError } from "../version/versionError.js";

/**
 * Maximum number of recorded refusals. When it is exceeded, the oldest refusal is removed, which costs at most one more
 * validation.
 */
const MAX_REFUSALS = 64;

/** Refused versions, most recent last. */
export interface Refusals {
    /** Records a refusal. Returns whether it is new. */
    readonly record: (error: VersionError) => boolean;
    /**
     * Whether a version with the same sequence and digest was found invalid. Damage during transfer does not count,
     * because the same version may arrive undamaged the next time.
     */
    readonly isInvalid: (head: Head) => boolean;
    readonly list: () => readonly VersionError[];
}

const formatVersionKey = (head: Head): string => `${head.partner}/${head.sequence}/${head.digest}`;

const formatErrorKey = (error: VersionError): string => {
    switch (error.kind) {
        case "Invalid":
            return formatVersionKey(error);
        case "DigestMismatch":
            return `${error.kind}/${error.partner}/${error.sequence}/${error.expected}`;
        case "Divergence":
            return `${error.kind}/${error.partner}/${error.sequence}/${error.offered}`;
        case "NotExtending":
            return `${error.kind}/${error.partner}/${error.heldSequence}/${error.offeredSequence}`;
        case "UnknownPartner":
            return `${error.kind}/${error.partner}`;
    }
};

/** Creates an empty record of refusals. */
export const createRefusals = (): Refusals => {
    const refusals = new Map<string, VersionError>();
    return {
        record: (error) => {
            const key = formatErrorKey(error);
            const isNew = !refusals.has(key);
            refusals.delete(key);
            refusals.set(key, error);
            const oldest = refusals.keys().next();
            if (refusals.size > MAX_REFUSALS && oldest.done !== true) {
                refusals.delete(oldest.value);
            }
            return isNew;
        },
        isInvalid: (head) => refusals.has(formatVersionKey(head)),
        list: () => [...refusals.values()],
    };
};
