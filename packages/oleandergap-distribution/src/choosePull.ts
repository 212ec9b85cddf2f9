/** Chooses the source of the next request for a version. */
import { pickOne, type Random } from "oleandergap-utils";
import type { Claim, ClaimSource } from "./claimRegistry.js";
import type { PeerAddress } from "./ports.js";
import type { PullAttempt } from "./inFlightPulls.js";

/** Inputs of the choice. */
export interface PullChoice {
    /** The current claims, highest sequence first. */
    readonly claims: readonly Claim[];
    /** Returns whether a request to this source is in flight. */
    readonly isInFlight: (source: ClaimSource) => boolean;
    /** Returns whether this source caused the most recent failure. */
    readonly isLastFailedSource: (source: ClaimSource) => boolean;
    /** Returns the peers to try if the sources that claimed a head do not deliver it. */
    readonly listFallbackPeers: () => readonly PeerAddress[];
    readonly random: Random;
}

/**
 * Returns the next request, or undefined if no source is available. The source that claims the highest head is
 * preferred. After a failure another source is chosen. Otherwise a single peer that does not respond, or that sends
 * false heads, could keep a node at an old version for as long as it claims higher heads.
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
