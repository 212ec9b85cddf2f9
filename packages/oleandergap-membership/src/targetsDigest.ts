/** One digest over all targets of an availability zone, equal on all nodes that know the same targets. */
import { createHash } from "node:crypto";
import type { Member } from "oleandergap-types";
import { formatCanonicalJson } from "oleandergap-utils";

/** Largest digest: 52 bits, which a number holds exactly. */
export const MAX_TARGETS_DIGEST = 2 ** 52 - 1;

const WORD_RANGE = 2 ** 32;
const HIGH_BITS_MASK = 0xf_ffff;

/** The two words of a member's hash; a list's words are those of its members combined by exclusive or. */
interface HashWords {
    readonly high: number;
    readonly low: number;
}

/** A member's record is replaced when it changes, so a hash holds for as long as its record is referred to. */
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

/** Does not depend on the order of the members; suspicions and incarnations do not count. */
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
