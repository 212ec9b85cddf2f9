/**
 * The heads of one partner that others claim to hold. A claim says whom to ask; it never changes what is in force.
 */
import type { Clock, Head, Milliseconds } from "oleandergap-types";
import type { PullOptions } from "./options.js";
import type { PeerAddress } from "./ports.js";

/** Who holds a version, and can be asked for it. */
export type ClaimSource =
    | { readonly kind: "Peer"; readonly peer: PeerAddress }
    | { readonly kind: "Platform" };

/** A head, and a source that is said to hold it. */
export interface Claim {
    readonly head: Head;
    readonly source: ClaimSource;
}

/**
 * What a failed attempt says of the claim. `Unanswered`: nothing, the source may be dead, busy, or behind a full link.
 * `Disproved`: the source answered, and did not deliver what it claims to hold.
 */
export type ClaimFailure = "Unanswered" | "Disproved";

/** Claims kept at most, so that a peer that makes up heads cannot fill the memory. */
const MAX_CLAIMS = 8;
/** Claims set aside, or counted as failed, that are remembered at most. */
const MAX_BOUNDED_ENTRIES = 32;

/** The platform, or the id of the peer, for a log. */
export const formatClaimSource = (source: ClaimSource): string =>
    source.kind === "Platform" ? "platform" : source.peer.id;

const formatClaim = ({ head, source }: Claim): string =>
    `${formatClaimSource(source)} ${head.sequence}:${head.digest}`;

/** Highest first; among equals, the latest claim first. */
const compareClaims = (left: Claim, right: Claim): number => right.head.sequence - left.head.sequence;

/** What a claim book works with. */
export interface ClaimRegistryDependencies {
    readonly clock: Clock;
    readonly options: Pick<PullOptions, "attemptsPerHead" | "keepUnansweredMs" | "setAsideMs">;
}

/** The claims to one partner's heads, with those that could not be verified set aside for a while. */
export interface ClaimRegistry {
    /** Notes a claim; true when it is higher than every other one that is still believed. */
    readonly note: (claim: Claim) => boolean;
    /** The claims that are still believed, highest first. */
    readonly claims: () => readonly Claim[];
    /** Forgets the claims to heads that are not wanted any more. */
    readonly settle: (isWanted: (head: Head) => boolean) => void;
    /** Counts a failed attempt to get a head from one who claims it; true when the claim is believed no more. */
    readonly countFailure: (claim: Claim, failure: ClaimFailure) => boolean;
}

/** The failed attempts at one claim. */
interface FailureCount {
    readonly count: number;
    readonly since: Milliseconds;
}

/** A map that forgets its oldest entries. */
const setBounded = <Value>(map: Map<string, Value>, key: string, value: Value): void => {
    map.delete(key);
    map.set(key, value);
    for (const oldest of [...map.keys()].slice(0, -MAX_BOUNDED_ENTRIES)) {
        map.delete(oldest);
    }
};

/**
 * Creates an empty book.
 *
 * A peer that lies, or that died after it told its head, leaves a claim that nobody can prove. Believed for good, it
 * would keep a node asking, and keep a restarted node from becoming ready. After some failed attempts the claim is
 * therefore dropped, and one that was disproved not believed for a while.
 *
 * Only the claim of that source: the head may be true, and others hold it. Were the head set aside, three questions
 * that run out of time on a full link would keep a node at an old version for seconds after the link is free. A source
 * that did not answer is believed again as soon as it shows its head once more, which the dead never do.
 *
 * While sources do not answer, the claim is kept for some seconds whatever their number: questions that fail at once
 * would use up the attempts within a part of a second, and a node that hears of the version only once would then stay
 * behind, though others hold it.
 */
export const createClaimRegistry = ({ clock, options }: ClaimRegistryDependencies): ClaimRegistry => {
    let claims: readonly Claim[] = [];
    const failureCounts = new Map<string, FailureCount>();
    const ignoredUntil = new Map<string, number>();

    const isIgnored = (claim: Claim): boolean => {
        const until = ignoredUntil.get(formatClaim(claim));
        return until !== undefined && clock.monotonic() < until;
    };

    const dropClaim = (key: string): void => {
        failureCounts.delete(key);
        claims = claims.filter((claim) => formatClaim(claim) !== key);
    };

    return {
        note: (claim) => {
            if (isIgnored(claim)) {
                return false;
            }
            const isNewest = claims.every((other) => other.head.sequence < claim.head.sequence);
            const sourceName = formatClaimSource(claim.source);
            const others = claims.filter((other) => formatClaimSource(other.source) !== sourceName);
            claims = [claim, ...others].sort(compareClaims).slice(0, MAX_CLAIMS);
            return isNewest;
        },
        claims: () => claims,
        settle: (isWanted) => {
            claims = claims.filter((claim) => isWanted(claim.head));
            if (claims.length === 0) {
                failureCounts.clear();
            }
        },
        countFailure: (claim, failure) => {
            const key = formatClaim(claim);
            const now = clock.monotonic();
            const { count, since } = failureCounts.get(key) ?? { count: 0, since: now };
            setBounded(failureCounts, key, { count: count + 1, since });
            const isKept = failure === "Unanswered" && now - since < options.keepUnansweredMs;
            if (count + 1 < options.attemptsPerHead || isKept) {
                return false;
            }
            dropClaim(key);
            if (failure === "Disproved") {
                setBounded(ignoredUntil, key, clock.monotonic() + options.setAsideMs);
            }
            return true;
        },
    };
};
