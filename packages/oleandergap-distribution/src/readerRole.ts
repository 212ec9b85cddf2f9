/**
 * Decides which members of an availability zone read the platform. Each member computes a ranking by rendezvous hash
 * without coordination: the first few members poll, the next few are standbys, and all others never poll. If two nodes
 * act as the same reader for a short time, this costs one more read; if no node does, versions are late by that time.
 *
 * Members with wide links rank first. If versions are read as whole documents, each of them saturates a narrow link for
 * seconds. Requests through that node then wait, and the members that receive versions from it are late; see
 * `countReaders`.
 */
import type { Clock, LinkClass, Milliseconds } from "oleandergap-types";
import { pickOne, rankByRendezvous, type Random } from "oleandergap-utils";
import { createBetterRankedQuery } from "./betterRankedQuery.js";
import type { ReaderOptions } from "./options.js";
import type { FleetMember, FleetPort, PeerPort } from "./ports.js";

const getLinkClass = ({ linkClass }: FleetMember): LinkClass => linkClass ?? 0;

/** Returns the members of the zone by reader rank: wide links first, then by hash among equal link classes. */
export const rankReaders = (fleet: Pick<FleetPort, "self" | "members">): readonly FleetMember[] =>
    [...rankByRendezvous(`readers/${fleet.self().zone}`, fleet.members(), (member) => member.id)]
        .sort((left, right) => getLinkClass(right) - getLinkClass(left));

/** Minimum number of readers per zone, whatever their links. A single reader may be dead or cut off undetected. */
const MIN_READERS = 2;
/** Largest class difference of links that count as similar. Links of adjacent classes differ up to fourfold. */
const SIMILAR_CLASS_DISTANCE = 1;

/**
 * Returns how many of the ranked members read the platform. Members with much narrower links than the first one stay
 * standbys if at least two other members read. In a fleet with a few wide links, eleven nodes with narrow links could
 * not reach the platform for three seconds each during the transfer of versions of 0.37 MB. Nodes that read such a
 * version in time received it 0.1 s (median) after the first node.
 */
export const countReaders = (ranked: readonly FleetMember[], readers: number): number => {
    const widest = ranked[0] === undefined ? 0 : getLinkClass(ranked[0]);
    const similarMemberCount = ranked
        .filter((member) => getLinkClass(member) >= widest - SIMILAR_CLASS_DISTANCE)
        .length;
    return Math.min(readers, Math.max(similarMemberCount, MIN_READERS));
};

/** Dependencies of the reader role. */
export interface ReaderRoleDependencies {
    readonly fleet: Pick<FleetPort, "self" | "members">;
    readonly peers: Pick<PeerPort, "ping">;
    readonly clock: Clock;
    readonly options: Pick<ReaderOptions, "readers" | "standbys" | "stepMs">;
    readonly random: Random;
    /** Time without a response of the first better ranked node after which the other ones are queried too. */
    readonly patienceMs: Milliseconds;
    /** Timeout of one request to a better ranked node. */
    readonly timeoutMs: Milliseconds;
    /**
     * Called with the time of the latest platform response that a better ranked node reported. It is never earlier than
     * the creation of the role.
     */
    readonly onPlatformResponse: (at: Milliseconds) => void;
}

/** Decides whether this node polls the platform for its availability zone. */
export interface ReaderRole {
    /**
     * Recomputes the ranking. A standby also queries the better ranked nodes for the time since the last platform
     * response.
     */
    readonly update: (signal: AbortSignal) => Promise<void>;
    /** Returns the rank; infinite before the first update and while this node is not among the members. */
    readonly rank: () => number;
    /** Returns whether the rank alone makes this node poll, independent of the other nodes. */
    readonly isReader: () => boolean;
    /** Returns whether this node polls now. */
    readonly isReading: () => boolean;
}

/** Creates the reader role of one node. The node does not poll before the first update. */
export const createReaderRole = ({
    fleet,
    peers,
    clock,
    options,
    random,
    patienceMs,
    timeoutMs,
    onPlatformResponse,
}: ReaderRoleDependencies): ReaderRole => {
    /**
     * Time of the latest platform response at a better ranked node, initially the creation of the role. Reads of this
     * node do not count, because a standby would otherwise end its own polling.
     */
    let lastContactAt = clock.monotonic();
    let rank = Number.POSITIVE_INFINITY;
    let { readers } = options;
    let isReading = false;

    const updateRank = (): readonly FleetMember[] => {
        const ranked = rankReaders(fleet);
        const selfIndex = ranked.findIndex((member) => member.id === fleet.self().id);
        rank = selfIndex < 0 ? Number.POSITIVE_INFINITY : selfIndex;
        readers = countReaders(ranked, options.readers);
        return ranked;
    };

    const queryBetterRanked = createBetterRankedQuery({
        peers,
        clock,
        patienceMs,
        timeoutMs,
        recentMs: options.stepMs,
        onPlatformResponse: (at) => {
            lastContactAt = Math.max(lastContactAt, at);
            onPlatformResponse(lastContactAt);
        },
    });

    /**
     * Updates the rank and decides whether this node polls. Readers may be dead or frozen. Then no better ranked node
     * responds, and this node is the best one that does. Readers may also be cut off from the platform. Then no better
     * ranked node reports a recent platform response. The waiting time grows with the rank, so that the standbys take
     * over one at a time.
     */
    const update = async (signal: AbortSignal): Promise<void> => {
        const ranked = updateRank();
        if (rank < readers) {
            isReading = true;
            return;
        }
        if (rank >= options.readers + options.standbys) {
            isReading = false;
            return;
        }
        const nodes = { betterRanked: ranked.slice(0, rank), witness: pickOne(random, ranked.slice(rank + 1)) };
        const state = await queryBetterRanked(nodes, signal);
        const standbyRank = rank - readers + 1;
        isReading = state === "Silent" || clock.monotonic() - lastContactAt > standbyRank * options.stepMs;
    };

    return { update, rank: () => rank, isReader: () => rank < readers, isReading: () => isReading };
};
