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
import { callWithin } from "./boundedCall.js";
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
    readonly tell: (claim: Claim) => void;
    readonly pullerOf: (partner: PartnerName) => VersionPuller;
    readonly sequenceOf: (partner: PartnerName) => Sequence;
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
    | { readonly kind: "TookLong" };

/** Distance between two looks at whether the versions have arrived. */
const ARRIVAL_CHECK_MS = 100;
/** A round whose versions took longer to arrive is followed by another one; well within the time to follow a change. */
const LONGEST_ROUND_MS = 1_000;
/** Such rounds in a row after which the node is ready all the same: its link is slow, and it keeps on following. */
const MOST_LONG_ROUNDS = 3;
/** Most doublings of the wait between rounds. */
const MAX_ROUND_EXPONENT = 10;

/** The heads that one or more recovered sources named; undefined when none answered. */
type NamedHeads = readonly Head[] | undefined;

/** Resolves when the node may serve, or when the signal aborts. */
export const recoverConfiguration = async (
    dependencies: RecoveryDependencies,
    signal: AbortSignal,
): Promise<RecoveryOutcome> => {
    const { partners, fleet, peers, budget, clock, random, options, tell } = dependencies;
    const ownReadAt = clock.monotonic() + options.platformAfterMs + random() * budget.fleetTurn();

    const askPeer = async (peer: PeerAddress): Promise<NamedHeads> => {
        const bound = { clock, timeoutMs: dependencies.pull.timeoutMs, signal };
        const answer = await callWithin((inner) => peers.heads(peer, inner), bound);
        if (either.isLeft(answer)) {
            return undefined;
        }
        const heads = answer.right.heads.filter((head) => partners.includes(head.partner));
        for (const head of heads) {
            tell({ head, source: { kind: "Peer", peer } });
        }
        return answer.right.ready ? heads : undefined;
    };

    const askPeers = async (candidates: readonly PeerAddress[]): Promise<NamedHeads> => {
        const others = candidates.filter((peer) => peer.id !== fleet.self().id);
        const answers = await Promise.all(pickSeveral(random, others, options.peersAsked).map(askPeer));
        const named = answers.filter((heads) => heads !== undefined);
        return named.length === 0 ? undefined : named.flat();
    };

    /**
     * Readers go to the platform at once, so that the zone soon has a source. All others first give them some time, and
     * then draw a moment from the time that the whole fleet needs to recover one by one under the budget.
     */
    const mayReadPlatform = (): boolean =>
        dependencies.isReader() || (clock.monotonic() >= ownReadAt && budget.timeToNext() === 0);

    const hasArrived = (heads: readonly Head[]): boolean =>
        partners.every((partner) => {
            const named = heads.filter((head) => head.partner === partner).map((head) => head.sequence);
            const believed = dependencies.pullerOf(partner).expectedSequence();
            return dependencies.sequenceOf(partner) >= Math.min(believed, Math.max(0, ...named));
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
    const lacksVersion = (heads: readonly Head[]): boolean =>
        heads.some(({ partner, sequence }) => sequence > 0 && dependencies.sequenceOf(partner) === 0);

    let longRounds = 0;
    /** Counts the rounds in a row that took too long; true when this one has to be followed by another. */
    const noteRoundTime = (namedAt: Milliseconds): boolean => {
        longRounds = clock.monotonic() - namedAt > LONGEST_ROUND_MS ? longRounds + 1 : 0;
        return longRounds > 0 && longRounds < MOST_LONG_ROUNDS;
    };

    /** The versions of the first source that names some; undefined when no source did. */
    const runRound = async (): Promise<RoundOutcome | undefined> => {
        const sources = [
            { source: "zone", ask: () => askPeers(fleet.members()) },
            { source: "otherZones", ask: () => askPeers(fleet.contacts()) },
            {
                source: "platform",
                ask: async () => mayReadPlatform() ? dependencies.readPlatformHeads(signal) : undefined,
            },
        ] as const;
        for (const { source, ask } of sources) {
            const heads = await ask();
            if (heads === undefined) {
                continue;
            }
            const namedAt = clock.monotonic();
            await waitForArrival(heads);
            if (signal.aborted) {
                return { kind: "Aborted" };
            }
            if (!lacksVersion(heads)) {
                return noteRoundTime(namedAt) ? { kind: "TookLong" } : { kind: "Recovered", source };
            }
        }
        return undefined;
    };

    for (let round = 0; !signal.aborted; round++) {
        const outcome = await runRound();
        if (outcome?.kind === "TookLong") {
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
