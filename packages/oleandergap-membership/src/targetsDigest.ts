/** Computes a digest of all targets of an availability zone, which is equal on all nodes that hold the same targets. */
import { createHash } from "node:crypto";
import type { Member } from "oleandergap-types";
import { formatCanonicalJson } from "oleandergap-utils";

/** Largest digest: 52 bits, which a number represents exactly. */
export const MAX_TARGETS_DIGEST = 2 ** 52 - 1;

const WORD_RANGE = 2 ** 32;
const HIGH_BITS_MASK = 0xf_ffff;

/** The two words of a hash. The words of a list are the words of its members combined with XOR. */
interface HashWords {
    readonly high: number;
    readonly low: number;
}

/** Cached hashes. A changed member gets a new record object, so a hash is valid as long as its record is referenced. */
const hashes = new WeakMap<Member, HashWords>();

const computeHash = ({ id, address, gatePort, target }: Member): HashWords => {
    const hash = createHash("sha256").update(formatCanonicalJson({ id, address, gatePort, target })).digest();
    return { high: hash.readUInt32BE(0) & HIGH_BITS_MASK, low: hash.readUInt32BE(4) };
};

const getHash = (member: Member): HashWords => {
    const cached = hashes.get(member);
    if (cached !== undefined) {
        return cached;
    }
    const computed = computeHash(member);
    hashes.set(member, computed);
    return computed;
};

/**
 * Returns the digest of the targets. It does not depend on the order of the members, their suspicions or their
 * incarnations.
 */
export const digestZoneTargets = (members: readonly Member[]): number => {
    let high = 0;
    let low = 0;
    for (const member of members) {
        if (member.target !== undefined) {
            const hash = getHash(member);
            high ^= hash.high;
            low ^= hash.low;
        }
    }
    return high * WORD_RANGE + (low >>> 0);
};
