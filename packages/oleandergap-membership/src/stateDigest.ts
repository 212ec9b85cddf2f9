/**
 * Maintains digests of the alive and suspect members, which are updated with each change. Two nodes compare them to
 * detect cheaply whether they hold the same records. Records are hashed into buckets, so that a single difference only
 * requires the records of one bucket instead of the complete list.
 */
import type { Member } from "oleandergap-types";
import { hashText } from "oleandergap-utils";
import { BUCKET_COUNT } from "./bodyCodec.js";
import { isDeadOrLeft } from "./memberRecord.js";

/**
 * Digests that are equal on nodes that hold the same alive and suspect members with equal incarnations and revisions.
 */
export interface StateDigest {
    /** Updates the digests after a record was added, changed or removed. */
    readonly replace: (previous: Member | undefined, next: Member | undefined) => void;
    /** Returns one digest of all records. */
    readonly total: () => number;
    readonly buckets: () => readonly number[];
}

/** Returns the bucket of a member, which is the same on every node. */
export const getBucket = (id: string): number => hashText(id) % BUCKET_COUNT;

/**
 * Returns the hash of a member. The state is not included, because suspicions change too often and end without any
 * exchange.
 */
const hashMember = (member: Member): number =>
    hashText(`${member.id} ${String(member.incarnation)} ${String(member.revision)}`);

export const createStateDigest = (): StateDigest => {
    const buckets = new Uint32Array(BUCKET_COUNT);

    const toggle = (member: Member | undefined): void => {
        if (member === undefined || isDeadOrLeft(member)) {
            return;
        }
        const bucket = getBucket(member.id);
        buckets[bucket] = (buckets[bucket] ?? 0) ^ hashMember(member);
    };

    return {
        replace: (previous, next) => {
            toggle(previous);
            toggle(next);
        },
        total: () => buckets.reduce((total, digest) => total ^ digest, 0) >>> 0,
        buckets: () => [...buckets],
    };
};
