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
    readonly isInFlight: (source: ClaimSource) => boolean;
    /** Whether the last question that failed went to this source. */
    readonly isLastFailedSource: (source: ClaimSource) => boolean;
    /** Peers to try when those who told a head do not deliver it. */
    readonly listFallbackPeers: () => readonly PeerAddress[];
    readonly random: Random;
}

/**
 * Whoever told the highest head goes first. After a failure somebody else is asked, or one silent or lying peer could
 * hold a node back for as long as it keeps telling higher heads. Undefined when nobody is left to ask.
 */
export const choosePull = (
    { claims, isInFlight, isLastFailedSource, listFallbackPeers, random }: PullChoice,
): PullAttempt | undefined => {
    const isAvailable = (source: ClaimSource): boolean => !isLastFailedSource(source) && !isInFlight(source);
    const [newestClaim] = claims;
    if (newestClaim === undefined) {
        return undefined;
    }
    const newestHead = newestClaim.head;
    const nextClaim = claims.find((claim) => isAvailable(claim.source));
    if (nextClaim !== undefined) {
        return { source: nextClaim.source, newestHead, claim: nextClaim };
    }
    const fallbackSources = listFallbackPeers().map((peer): ClaimSource => ({ kind: "Peer", peer }));
    const fallbackSource = pickOne(random, fallbackSources.filter(isAvailable));
    if (fallbackSource !== undefined) {
        return { source: fallbackSource, newestHead, claim: undefined };
    }
    const lastClaim = claims.find((claim) => !isInFlight(claim.source));
    return lastClaim && { source: lastClaim.source, newestHead, claim: lastClaim };
};
