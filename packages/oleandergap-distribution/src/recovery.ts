/**
 * Recovers the versions of a node after its start, before the node becomes ready. A started node holds no version.
 * Before its restart it may have held a higher version than the first peer that it queries holds now. It therefore
 * queries several peers, takes the highest heads, and becomes ready only when it holds the versions that they reported.
 *
 * Guarantee: when `recover` resolves, the node holds for every partner at least the highest version that any recovered
 * source reported in the deciding round, except for versions that no source could deliver with a matching digest. It
 * also holds some version of each partner for which a source reported one. The deciding round must be recent. Versions
 * that were reported before a long pull may have been superseded during the pull, and the node would then serve an old
 * version as the newest one.
 *
 * The sources are tried in this order: recovered peers of the local zone, recovered contacts in other zones, and the
 * platform. If all peers of the zone restarted at once, none of them is a source yet, and the zone waits for another
 * zone or the platform. If neither responds, the node stays not ready and keeps starting new rounds.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { Clock, Head, Milliseconds, PartnerName, Sequence } from "oleandergap-types";
import { drawBackoff, pickSeveral, type Random } from "oleandergap-utils";
import { callWithTimeout } from "./callWithTimeout.js";
import type { Claim } from "./claimRegistry.js";
import type { PullOptions, RecoveryOptions } from "./options.js";
import type { FleetPort, PeerAddress, PeerPort } from "./ports.js";
import type { ReadBudget } from "./readBudget.js";
import type { VersionPuller } from "./versionPuller.js";

/** Dependencies of a recovery. */
export interface RecoveryDependencies {
    readonly partners: readonly PartnerName[];
    readonly fleet: FleetPort;
    readonly peers: Pick<PeerPort, "heads">;
    readonly readPlatformHeads: (signal: AbortSignal) => Promise<readonly Head[] | undefined>;
    readonly isReader: () => boolean;
    readonly budget: Pick<ReadBudget, "timeToNext" | "fleetRecoveryTime">;
    readonly reportClaim: (claim: Claim) => void;
    readonly getPuller: (partner: PartnerName) => VersionPuller;
    readonly getSequence: (partner: PartnerName) => Sequence;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options: RecoveryOptions;
    readonly pull: Pick<PullOptions, "timeoutMs">;
}

/** Result of a recovery; `source` is the source that reported the heads of the deciding round. */
export type RecoveryOutcome =
    | { readonly kind: "Recovered"; readonly source: "zone" | "otherZones" | "platform" }
    /** The signal aborted before the recovery was complete. */
    | { readonly kind: "Aborted" };

/** Result of a round in which a source reported heads. */
type RoundOutcome =
    | RecoveryOutcome
    /** The reported versions arrived, but took so long that newer ones may exist. */
    | { readonly kind: "TimeExceeded" };

/** Interval between checks whether the versions have arrived. */
const ARRIVAL_CHECK_MS = 100;
/** If the versions of a round take longer to arrive, the round is repeated. Well below the time limit for a change. */
const MAX_ROUND_MS = 1_000;
/**
 * Number of consecutive slow rounds after which the node becomes ready anyway: its link is slow, and it keeps updating.
 */
const MAX_SLOW_ROUNDS = 3;
/** Maximum number of doublings of the wait between rounds. */
const MAX_ROUND_EXPONENT = 10;

/** Heads that one or more recovered sources reported; undefined if no recovered source responded. */
type ReportedHeads = readonly Head[] | undefined;

/** Recovers the versions of a node. Resolves when the node may serve, or when the signal aborts. */
export const recoverConfiguration = async (
    dependencies: RecoveryDependencies,
    signal: AbortSignal,
): Promise<RecoveryOutcome> => {
    const { partners, fleet, peers, budget, clock, random, options, reportClaim } = dependencies;
    const platformReadAllowedAt = clock.monotonic() + options.platformAfterMs + random() * budget.fleetRecoveryTime();

    const fetchPeerHeads = async (peer: PeerAddress): Promise<ReportedHeads> => {
        const limits = { clock, timeoutMs: dependencies.pull.timeoutMs, signal };
        const response = await callWithTimeout((inner) => peers.heads(peer, inner), limits);
        if (either.isLeft(response)) {
            return undefined;
        }
        const heads = response.right.heads.filter((head) => partners.includes(head.partner));
        for (const head of heads) {
            reportClaim({ head, source: { kind: "Peer", peer } });
        }
        return response.right.ready ? heads : undefined;
    };

    const fetchHeadsFromPeers = async (candidates: readonly PeerAddress[]): Promise<ReportedHeads> => {
        const others = candidates.filter((peer) => peer.id !== fleet.self().id);
        const responses = await Promise.all(pickSeveral(random, others, options.peersAsked).map(fetchPeerHeads));
        const reportedHeads = responses.filter((heads) => heads !== undefined);
        return reportedHeads.length === 0 ? undefined : reportedHeads.flat();
    };

    /**
     * Returns whether this node may read the platform now. Readers may do so immediately, so that the zone soon has a
     * source. Other nodes first wait to give the readers time. After that, each node waits for a random part of the
     * time that the budget needs for the nodes of the whole fleet to recover in turn.
     */
    const canReadPlatform = (): boolean =>
        dependencies.isReader() || (clock.monotonic() >= platformReadAllowedAt && budget.timeToNext() === 0);

    const hasArrived = (heads: readonly Head[]): boolean =>
        partners.every((partner) => {
            const reportedSequences = heads.filter((head) => head.partner === partner).map((head) => head.sequence);
            const expectedSequence = dependencies.getPuller(partner).expectedSequence();
            return dependencies.getSequence(partner) >= Math.min(expectedSequence, Math.max(0, ...reportedSequences));
        });

    const waitForArrival = async (heads: readonly Head[]): Promise<void> => {
        while (!signal.aborted && !hasArrived(heads)) {
            await clock.sleep(ARRIVAL_CHECK_MS, signal);
        }
    };

    /**
     * Returns whether a source reported a version of a partner of which this node holds no version. The node may become
     * ready without the newest version if no source delivers it, but not without any version. It would otherwise treat
     * every request as a request for an unknown service, and other nodes would recover the empty table from it.
     */
    const hasMissingVersion = (heads: readonly Head[]): boolean =>
        heads.some(({ partner, sequence }) => sequence > 0 && dependencies.getSequence(partner) === 0);

    let slowRounds = 0;
    /** Counts the consecutive slow rounds. Returns whether another round must follow this one. */
    const mustRepeatRound = (reportedAt: Milliseconds): boolean => {
        slowRounds = clock.monotonic() - reportedAt > MAX_ROUND_MS ? slowRounds + 1 : 0;
        return slowRounds > 0 && slowRounds < MAX_SLOW_ROUNDS;
    };

    /** Runs one round with the first source that reports heads. Returns undefined if no source completed the round. */
    const runRound = async (): Promise<RoundOutcome | undefined> => {
        const sources = [
            { source: "zone", fetchHeads: () => fetchHeadsFromPeers(fleet.members()) },
            { source: "otherZones", fetchHeads: () => fetchHeadsFromPeers(fleet.contacts()) },
            {
                source: "platform",
                fetchHeads: async () => canReadPlatform() ? dependencies.readPlatformHeads(signal) : undefined,
            },
        ] as const;
        for (const { source, fetchHeads } of sources) {
            const heads = await fetchHeads();
            if (heads === undefined) {
                continue;
            }
            const reportedAt = clock.monotonic();
            await waitForArrival(heads);
            if (signal.aborted) {
                return { kind: "Aborted" };
            }
            if (!hasMissingVersion(heads)) {
                return mustRepeatRound(reportedAt) ? { kind: "TimeExceeded" } : { kind: "Recovered", source };
            }
        }
        return undefined;
    };

    for (let round = 0; !signal.aborted; round++) {
        const outcome = await runRound();
        if (outcome?.kind === "TimeExceeded") {
            dependencies.logger.info("The versions took long to arrive; another recovery round follows.", { round });
            continue;
        }
        if (outcome !== undefined) {
            return outcome;
        }
        dependencies.logger.info("No recovered source has responded yet.", { round });
        const exponent = Math.min(round, MAX_ROUND_EXPONENT);
        await clock.sleep(drawBackoff(random, exponent, options.roundBaseMs, options.roundMaximumMs), signal);
    }
    return { kind: "Aborted" };
};
