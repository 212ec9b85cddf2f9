/**
 * Digests over the present members, kept up to date with each change, by which two nodes find out cheaply whether they
 * know the same. Records fall into buckets, so that a single difference costs one bucket's records, not the whole list.
 */
import type { Member } from "oleandergap-types";
import { hashText } from "oleandergap-utils";
import { BUCKET_COUNT } from "./bodyCodec.js";
import { isDeadOrLeft } from "./memberRecord.js";

/** Equal for nodes that hold the same present members with equal incarnations and revisions. */
export interface StateDigest {
    /** Takes a changed record into account. */
    readonly replace: (previous: Member | undefined, next: Member | undefined) => void;
    /** One digest over everything. */
    readonly total: () => number;
    readonly buckets: () => readonly number[];
}

/** The bucket of a member, equal on every node. */
export const getBucket = (id: string): number => hashText(id) % BUCKET_COUNT;

/** Suspicions are left out: they come and go too often, and end by themselves. */
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
