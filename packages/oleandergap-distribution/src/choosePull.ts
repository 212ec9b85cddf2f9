/** Chooses whom to ask next for a version. */
import { pickOne, type Random } from "oleandergap-utils";
import type { Claim, ClaimSource } from "./claimBook.js";
import type { PeerAddress } from "./ports.js";
import type { PullAttempt } from "./pullsUnderWay.js";

/** What the choice depends on. */
export interface PullChoice {
    /** Highest first. */
    readonly claims: readonly Claim[];
    /** Whether a question to this source is under way. */
    readonly isAsked: (source: ClaimSource) => boolean;
    /** Whether the last question that failed went to this source. */
    readonly hasFailedLast: (source: ClaimSource) => boolean;
    /** Peers to try when those who told a head do not deliver it. */
    readonly otherPeers: () => readonly PeerAddress[];
    readonly random: Random;
}

/**
 * Whoever told the highest head goes first. After a failure somebody else is asked, or one silent or lying peer could
 * hold a node back for as long as it keeps telling higher heads. Undefined when nobody is left to ask.
 */
export const choosePull = (
    { claims, isAsked, hasFailedLast, otherPeers, random }: PullChoice,
): PullAttempt | undefined => {
    const canBeAsked = (source: ClaimSource): boolean => !hasFailedLast(source) && !isAsked(source);
    const [newest] = claims;
    if (newest === undefined) {
        return undefined;
    }
    const wanted = newest.head;
    const next = claims.find((claim) => canBeAsked(claim.source));
    if (next !== undefined) {
        return { source: next.source, wanted, claim: next };
    }
    const others = otherPeers().map((peer): ClaimSource => ({ kind: "Peer", peer }));
    const other = pickOne(random, others.filter(canBeAsked));
    if (other !== undefined) {
        return { source: other, wanted, claim: undefined };
    }
    const last = claims.find((claim) => !isAsked(claim.source));
    return last && { source: last.source, wanted, claim: last };
};
