/**
 * What a node does between its start and being ready. It holds nothing, so it may have held a higher version before its
 * restart than the first peer that it asks holds now; it therefore asks several, takes the highest, and is ready only
 * when it holds what they named.
 *
 * Guarantee: when `recover` resolves, the node holds, for every partner, at least the highest version that any
 * recovered source named in the deciding round, but for versions that nobody could deliver with a matching digest; and
 * some version of each partner of which a source named one. The deciding round is a recent one: what was named before a
 * long pull may have been overtaken meanwhile, and a node that took it for the newest would serve by an old version.
 * Sources are, in this order, recovered peers of the own zone, recovered contacts in other zones, and the platform.
 * When all peers of the zone restarted at once, none of them is a source yet: the zone waits for another zone or the
 * platform. When neither answers, the node stays not ready and keeps trying.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Logger } from "oleandergap-logger";
import type { Clock, Head, Milliseconds, PartnerName, Sequence } from "oleandergap-types";
import { drawBackoff, pickSeveral, type Random } from "oleandergap-utils";
import { callWithTimeout } from "./boundedCall.js";
import type { Claim } from "./claimBook.js";
import type { PullOptions, RecoveryOptions } from "./options.js";
import type { FleetPort, PeerAddress, PeerPort } from "./ports.js";
import type { ReadBudget } from "./readBudget.js";
import type { VersionPuller } from "./versionPuller.js";

/** What a recovery works with. */
export interface RecoveryDependencies {
    readonly partners: readonly PartnerName[];
    readonly fleet: FleetPort;
    readonly peers: Pick<PeerPort, "heads">;
    readonly readPlatformHeads: (signal: AbortSignal) => Promise<readonly Head[] | undefined>;
    readonly isReader: () => boolean;
    readonly budget: Pick<ReadBudget, "timeToNext" | "fleetTurn">;
    readonly reportClaim: (claim: Claim) => void;
    readonly getPuller: (partner: PartnerName) => VersionPuller;
    readonly getSequence: (partner: PartnerName) => Sequence;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly options: RecoveryOptions;
    readonly pull: Pick<PullOptions, "timeoutMs">;
}

/** Where the versions came from that made the node ready. */
export type RecoveryOutcome =
    | { readonly kind: "Recovered"; readonly source: "zone" | "otherZones" | "platform" }
    /** The signal aborted first. */
    | { readonly kind: "Aborted" };

/** How a round ended in which a source named heads. */
type RoundOutcome =
    | RecoveryOutcome
    /** The versions that were named have arrived, too late to be taken for the newest. */
    | { readonly kind: "TimeExceeded" };

/** Distance between two looks at whether the versions have arrived. */
const ARRIVAL_CHECK_MS = 100;
/** A round whose versions took longer to arrive is followed by another one; well within the time to follow a change. */
const MAX_ROUND_MS = 1_000;
/** Such rounds in a row after which the node is ready all the same: its link is slow, and it keeps on following. */
const MAX_SLOW_ROUNDS = 3;
/** Most doublings of the wait between rounds. */
const MAX_ROUND_EXPONENT = 10;

/** The heads that one or more recovered sources named; undefined when none answered. */
type ReportedHeads = readonly Head[] | undefined;

/** Resolves when the node may serve, or when the signal aborts. */
export const recoverConfiguration = async (
    dependencies: RecoveryDependencies,
    signal: AbortSignal,
): Promise<RecoveryOutcome> => {
    const { partners, fleet, peers, budget, clock, random, options, reportClaim } = dependencies;
    const platformReadAllowedAt = clock.monotonic() + options.platformAfterMs + random() * budget.fleetTurn();

    const fetchPeerHeads = async (peer: PeerAddress): Promise<ReportedHeads> => {
        const limits = { clock, timeoutMs: dependencies.pull.timeoutMs, signal };
        const answer = await callWithTimeout((inner) => peers.heads(peer, inner), limits);
        if (either.isLeft(answer)) {
            return undefined;
        }
        const heads = answer.right.heads.filter((head) => partners.includes(head.partner));
        for (const head of heads) {
            reportClaim({ head, source: { kind: "Peer", peer } });
        }
        return answer.right.ready ? heads : undefined;
    };

    const fetchHeadsFromPeers = async (candidates: readonly PeerAddress[]): Promise<ReportedHeads> => {
        const others = candidates.filter((peer) => peer.id !== fleet.self().id);
        const answers = await Promise.all(pickSeveral(random, others, options.peersAsked).map(fetchPeerHeads));
        const reportedHeads = answers.filter((heads) => heads !== undefined);
        return reportedHeads.length === 0 ? undefined : reportedHeads.flat();
    };

    /**
     * Readers go to the platform at once, so that the zone soon has a source. All others first give them some time, and
     * then draw a moment from the time that the whole fleet needs to recover one by one under the budget.
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
     * A version that nobody delivers is not waited for, but with none at all a node would answer every request as one
     * for an unknown service, and other nodes would recover the empty table from it.
     */
    const hasMissingVersion = (heads: readonly Head[]): boolean =>
        heads.some(({ partner, sequence }) => sequence > 0 && dependencies.getSequence(partner) === 0);

    let slowRounds = 0;
    /** Counts the rounds in a row that took too long; true when this one has to be followed by another. */
    const mustRepeatRound = (reportedAt: Milliseconds): boolean => {
        slowRounds = clock.monotonic() - reportedAt > MAX_ROUND_MS ? slowRounds + 1 : 0;
        return slowRounds > 0 && slowRounds < MAX_SLOW_ROUNDS;
    };

    /** The versions of the first source that names some; undefined when no source did. */
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
            dependencies.logger.info("the versions took long to arrive; asking for newer ones", { round });
            continue;
        }
        if (outcome !== undefined) {
            return outcome;
        }
        dependencies.logger.info("no recovered source answered yet", { round });
        const exponent = Math.min(round, MAX_ROUND_EXPONENT);
        await clock.sleep(drawBackoff(random, exponent, options.roundBaseMs, options.roundMaximumMs), signal);
    }
    return { kind: "Aborted" };
};
