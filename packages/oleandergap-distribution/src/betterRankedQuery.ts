/**
 * Asks the better ranked nodes of a standby for the time since the last response of the platform.
 *
 * If the nodes were asked one after the other, each one that is dead or frozen would delay the standby by a whole
 * timeout, and the zone would receive no versions for as many seconds as it has readers. Usually the first node
 * responds, and no other one is asked. If it does not respond soon, all of them are asked at the same time.
 */
import * as either from "fp-ts/lib/Either.js";
import type { Either } from "fp-ts/lib/Either.js";
import type { Clock, Milliseconds } from "oleandergap-types";
import { callWithTimeout } from "./callWithTimeout.js";
import { startTimer } from "./periodic.js";
import type { PingResponse } from "./peerSchemas.js";
import type { PeerAddress, PeerPort } from "./ports.js";

/** Dependencies of a query. */
export interface BetterRankedQueryDependencies {
    readonly peers: Pick<PeerPort, "ping">;
    readonly clock: Clock;
    /** Time without a response after which the other nodes are asked too, and after which these count as silent. */
    readonly patienceMs: Milliseconds;
    /** Timeout of the requests to all nodes. */
    readonly timeoutMs: Milliseconds;
    /** A platform response that is younger than this ends the query. */
    readonly recentMs: Milliseconds;
    /** Called with the time of the latest platform response that a node reported. */
    readonly onPlatformResponse: (at: Milliseconds) => void;
}

/**
 * Result of a query. `Responding`: at least one better ranked node responded. `Silent`: none of them responded, but
 * another member did, so that the link of this node works. `Unknown`: nobody responded, and the link of this node may
 * be the reason.
 */
export type BetterRankedState = "Responding" | "Silent" | "Unknown";

/** The nodes of one query. */
export interface QueriedNodes {
    readonly betterRanked: readonly PeerAddress[];
    /** A member that ranks lower than this node and shows whether the link of this node works; undefined if none. */
    readonly witness: PeerAddress | undefined;
}

/** Runs a query. It ends early when the signal aborts. */
export type QueryBetterRanked = (nodes: QueriedNodes, signal: AbortSignal) => Promise<BetterRankedState>;

interface QueryOutcome {
    readonly hasResponded: boolean;
    readonly isRecent: boolean;
}

/** Creates the function that runs queries. The function never rejects. */
export const createBetterRankedQuery = (
    { peers, clock, patienceMs, timeoutMs, recentMs, onPlatformResponse }: BetterRankedQueryDependencies,
): QueryBetterRanked => async (nodes, signal) => {
    const ping = (peer: PeerAddress, limitMs: Milliseconds): Promise<Either<unknown, PingResponse>> =>
        callWithTimeout((inner) => peers.ping(peer, inner), { clock, timeoutMs: limitMs, signal });

    const query = async (peer: PeerAddress, limitMs: Milliseconds): Promise<QueryOutcome> => {
        const requestedAt = clock.monotonic();
        const response = await ping(peer, limitMs);
        const age = either.isRight(response) ? response.right.platformAgeMs : undefined;
        if (age !== undefined) {
            onPlatformResponse(requestedAt - age);
        }
        return { hasResponded: either.isRight(response), isRecent: age !== undefined && age < recentMs };
    };

    /** Resolves after the patience if `isSilent` returns true then; otherwise it never resolves. */
    const waitForSilence = (isSilent: () => boolean): Promise<void> => new Promise((resolve) => {
        startTimer(clock, signal, patienceMs, () => isSilent() && resolve());
    });

    /**
     * Queries all nodes at the same time. Resolves early if none of them has responded within the patience although the
     * witness has. Responses that arrive later are still reported.
     */
    const queryAll = async ({ betterRanked, witness }: QueriedNodes): Promise<BetterRankedState> => {
        let hasWitnessResponded = false;
        let hasAnyResponded = false;
        // The age that the witness reports is ignored. It may have it from this node, which would then stop polling.
        const pingWitness = async (): Promise<void> => {
            hasWitnessResponded = witness !== undefined && either.isRight(await ping(witness, timeoutMs));
        };
        const queryOne = async (peer: PeerAddress): Promise<void> => {
            const { hasResponded } = await query(peer, timeoutMs);
            hasAnyResponded ||= hasResponded;
        };
        const getState = (): BetterRankedState => {
            if (hasAnyResponded) {
                return "Responding";
            }
            return hasWitnessResponded ? "Silent" : "Unknown";
        };
        const ended = Promise.all([pingWitness(), ...betterRanked.map(queryOne)]);
        await Promise.race([ended, waitForSilence(() => getState() === "Silent")]);
        return getState();
    };

    const [first] = nodes.betterRanked;
    const firstOutcome = first === undefined ? undefined : await query(first, patienceMs);
    if (firstOutcome?.isRecent === true) {
        return "Responding";
    }
    const hasFirstResponded = firstOutcome?.hasResponded === true;
    const remaining = hasFirstResponded ? nodes.betterRanked.slice(1) : nodes.betterRanked;
    const state = await queryAll({ ...nodes, betterRanked: remaining });
    return hasFirstResponded ? "Responding" : state;
};
