/**
 * Stores the heads of one partner that other nodes or the platform claim to hold. A claim selects the source of a pull;
 * it never changes the version in force.
 */
import type { Clock, Head, Milliseconds } from "oleandergap-types";
import type { PullOptions } from "./options.js";
import type { PeerAddress } from "./ports.js";

/** A source from which a version can be fetched. */
export type ClaimSource =
    | { readonly kind: "Peer"; readonly peer: PeerAddress }
    | { readonly kind: "Platform" };

/** A head, and the source that claims to hold it. */
export interface Claim {
    readonly head: Head;
    readonly source: ClaimSource;
}

/**
 * Meaning of a failed attempt for the claim. `Unanswered`: the claim remains unverified, because the source may be
 * dead, busy, or reachable only over a saturated link. `Disproved`: the source responded but did not deliver the
 * version that it claims to hold. `Undecided`: this node holds no version yet and keeps all claims, because it could
 * not become ready while a claim to an existing head is ignored.
 */
export type ClaimFailure = "Unanswered" | "Disproved" | "Undecided";

/** Maximum number of claims, so that a peer that invents heads cannot exhaust the memory. */
const MAX_CLAIMS = 8;
/** Maximum number of entries for ignored claims, and for claims with failed attempts. */
const MAX_BOUNDED_ENTRIES = 32;

/** Returns `platform` or the id of the peer, for logs and as a key. */
export const formatClaimSource = (source: ClaimSource): string =>
    source.kind === "Platform" ? "platform" : source.peer.id;

const formatClaim = ({ head, source }: Claim): string =>
    `${formatClaimSource(source)} ${head.sequence}:${head.digest}`;

/** Sorts by sequence, highest first. The stable sort keeps the latest claim first among equal sequences. */
const compareClaims = (left: Claim, right: Claim): number => right.head.sequence - left.head.sequence;

/** Dependencies of a claim registry. */
export interface ClaimRegistryDependencies {
    readonly clock: Clock;
    readonly options: Pick<PullOptions, "attemptsPerHead" | "keepUnansweredMs" | "setAsideMs">;
}

/** The claims of sources to hold heads of one partner. Claims that could not be verified are ignored for a while. */
export interface ClaimRegistry {
    /** Records a claim. Returns whether its head is higher than those of all other current claims. */
    readonly add: (claim: Claim) => boolean;
    /** Returns the current claims, highest sequence first. */
    readonly claims: () => readonly Claim[];
    /** Returns the number of failed attempts to fetch a claimed head from its source. */
    readonly getFailures: (claim: Claim) => number;
    /** Removes the claims to heads for which `isNeeded` returns false. */
    readonly removeUnneeded: (isNeeded: (head: Head) => boolean) => void;
    /** Counts a failed attempt to fetch a claimed head from its source. Returns whether the claim was dropped. */
    readonly countFailure: (claim: Claim, failure: ClaimFailure) => boolean;
}

/** Number of failed attempts for one claim, and the time of the first one. */
interface FailureCount {
    readonly count: number;
    readonly since: Milliseconds;
}

/** Sets a map entry and evicts the oldest entries above the limit. */
const setBounded = <Value>(map: Map<string, Value>, key: string, value: Value): void => {
    map.delete(key);
    map.set(key, value);
    for (const oldest of [...map.keys()].slice(0, -MAX_BOUNDED_ENTRIES)) {
        map.delete(oldest);
    }
};

/**
 * Creates an empty registry.
 *
 * A peer that sends a false head, or that dies after it sent its head, leaves a claim that no source can satisfy. If
 * such a claim were kept forever, the node would keep sending requests, and a restarted node would never become ready.
 * The claim is therefore dropped after several failed attempts, and a disproved claim is also ignored for a while.
 *
 * Only the claim of that source is dropped, because the head may exist and other sources may hold it. If the head
 * itself were ignored, three requests that time out on a saturated link would keep a node at an old version for seconds
 * after the link is free again. The claim of a source that did not respond is accepted again as soon as the source
 * sends its head once more, which a dead source never does.
 *
 * While sources do not respond, a claim is kept for at least some seconds, whatever the number of failed attempts.
 * Requests that fail immediately would otherwise use up the attempts within a fraction of a second. A node that
 * receives the head only once would then stay at an old version although other nodes hold the newer one.
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
        add: (claim) => {
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
        getFailures: (claim) => failureCounts.get(formatClaim(claim))?.count ?? 0,
        removeUnneeded: (isNeeded) => {
            claims = claims.filter((claim) => isNeeded(claim.head));
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
            if (count + 1 < options.attemptsPerHead || isKept || failure === "Undecided") {
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
