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
    /** Returns the number of failed attempts to fetch a claimed head from its source. */
    readonly getFailures: (claim: Claim) => number;
    /** Returns the peers to try if the sources that claimed a head do not deliver it. */
    readonly listFallbackPeers: () => readonly PeerAddress[];
    readonly random: Random;
}

/** Returns whether a peer that claimed a head was not tried yet. This single attempt needs no wait before it. */
export const hasUntriedPeer = (
    { claims, getFailures, isInFlight }: Pick<PullChoice, "claims" | "getFailures" | "isInFlight">,
): boolean =>
    claims.some((claim) => claim.source.kind === "Peer" && !isInFlight(claim.source) && getFailures(claim) === 0);

/** Returns the claims whose sources failed least often first; equal ones stay in order of their heads. */
const sortByFailures = ({ claims, getFailures }: PullChoice): readonly Claim[] =>
    [...claims].sort((left, right) => getFailures(left) - getFailures(right));

/**
 * Returns the next request, or undefined if no source is available. Each source that claimed a head is tried once, the
 * highest head first. After that, peers that claimed nothing and the sources that failed least often are tried in turn.
 * Otherwise a few peers that do not respond, or that no longer hold what they claimed, could keep a node at an old
 * version although another member holds the newer one.
 */
export const choosePull = (choice: PullChoice): PullAttempt | undefined => {
    const { claims, isInFlight, isLastFailedSource, getFailures, listFallbackPeers, random } = choice;
    const isAvailable = (source: ClaimSource): boolean => !isLastFailedSource(source) && !isInFlight(source);
    const [newestClaim] = claims;
    if (newestClaim === undefined) {
        return undefined;
    }
    const newestHead = newestClaim.head;
    const toAttempt = (claim: Claim): PullAttempt => ({ source: claim.source, newestHead, claim });
    const nextClaim = sortByFailures(choice).find((claim) => isAvailable(claim.source));
    const hasClaimantFailed = claims.some((claim) => isLastFailedSource(claim.source));
    if (nextClaim !== undefined && (getFailures(nextClaim) === 0 || !hasClaimantFailed)) {
        return toAttempt(nextClaim);
    }
    const isClaimant = (peer: PeerAddress): boolean =>
        claims.some(({ source }) => source.kind === "Peer" && source.peer.id === peer.id);
    const fallbackSources = listFallbackPeers()
        .filter((peer) => !isClaimant(peer))
        .map((peer): ClaimSource => ({ kind: "Peer", peer }));
    const fallbackSource = pickOne(random, fallbackSources.filter(isAvailable));
    if (fallbackSource !== undefined) {
        return { source: fallbackSource, newestHead, claim: undefined };
    }
    const lastClaim = nextClaim ?? claims.find((claim) => !isInFlight(claim.source));
    return lastClaim && toAttempt(lastClaim);
};
